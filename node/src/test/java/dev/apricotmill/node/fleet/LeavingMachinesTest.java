package dev.apricotmill.node.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Machine;
import org.junit.jupiter.api.Test;

class LeavingMachinesTest {

  private static final String VM = "vm-1";

  private final LeavingMachines leaving = new LeavingMachines();

  @Test
  void aMachineThatIsListedAsLeavingGetsNoNewWork() {
    leaving.observeList(listed(Machine.State.LEAVING), 0);
    assertThat(leaving.leavingNames(0)).containsExactly(VM);
  }

  @Test
  void aListThatLacksALeavingMachineDoesNotBringItBack() {
    leaving.observeList(listed(Machine.State.LEAVING), 0);
    leaving.observeList(ImmutableList.of(), 1);
    assertThat(leaving.leavingNames(1)).containsExactly(VM);
  }

  @Test
  void aMachineThatIsListedAsLiveAgainMayTakeWork() {
    leaving.observeList(listed(Machine.State.LEAVING), 0);
    leaving.observePeerReport(ImmutableList.of(VM), 0);
    leaving.observeList(listed(Machine.State.LIVE), 1);
    assertThat(leaving.leavingNames(1)).isEmpty();
  }

  @Test
  void whatAPeerSaidCountsForItsRetentionAndIsNotPassedOn() {
    leaving.observePeerReport(ImmutableList.of(VM), 0);
    long retention = LeavingMachines.PEER_RETENTION.toNanos();
    assertThat(leaving.leavingNames(retention - 1)).containsExactly(VM);
    assertThat(leaving.listedLeavingNames(0)).isEmpty();
    assertThat(leaving.leavingNames(retention)).isEmpty();
  }

  private static ImmutableList<Machine> listed(Machine.State state) {
    return ImmutableList.of(
        new Machine(VM, Machine.Role.BACKEND, new Zone("zone-1"), "127.0.0.1:1", state));
  }
}
