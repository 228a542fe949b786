package dev.apricotmill.node.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Machine;
import org.junit.jupiter.api.Test;

class LeavingMachinesTest {

  private static final String VM = "vm-1";

  private final LeavingMachines leavingMachines = new LeavingMachines();

  @Test
  void aMachineThatIsListedAsLeavingGetsNoNewWork() {
    leavingMachines.observeList(listOf(Machine.State.LEAVING), 0);
    assertThat(leavingMachines.leavingNames(0)).containsExactly(VM);
  }

  @Test
  void aListWithoutALeavingMachineDoesNotMakeItUsableAgain() {
    leavingMachines.observeList(listOf(Machine.State.LEAVING), 0);
    leavingMachines.observeList(ImmutableList.of(), 1);
    assertThat(leavingMachines.leavingNames(1)).containsExactly(VM);
  }

  @Test
  void aMachineThatIsListedAsLiveAgainMayTakeWork() {
    leavingMachines.observeList(listOf(Machine.State.LEAVING), 0);
    leavingMachines.observePeerReport(ImmutableList.of(VM), 0);
    leavingMachines.observeList(listOf(Machine.State.LIVE), 1);
    assertThat(leavingMachines.leavingNames(1)).isEmpty();
  }

  @Test
  void aPeerReportExpiresAfterItsRetentionAndIsNotRepublished() {
    leavingMachines.observePeerReport(ImmutableList.of(VM), 0);
    long retention = LeavingMachines.PEER_RETENTION.toNanos();
    assertThat(leavingMachines.leavingNames(retention - 1)).containsExactly(VM);
    assertThat(leavingMachines.listedLeavingNames(0)).isEmpty();
    assertThat(leavingMachines.leavingNames(retention)).isEmpty();
  }

  private static ImmutableList<Machine> listOf(Machine.State state) {
    return ImmutableList.of(
        new Machine(VM, Machine.Role.BACKEND, new Zone("zone-1"), "127.0.0.1:1", state));
  }
}
