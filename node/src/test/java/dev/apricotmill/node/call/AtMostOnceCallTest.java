package dev.apricotmill.node.call;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.outcome.UnknownReason;
import dev.apricotmill.node.testing.Deployment;
import dev.apricotmill.node.testing.RecordedCall;
import dev.apricotmill.node.testing.SampleConfiguration;
import dev.apricotmill.node.testing.TestClient;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.peers.Link;
import dev.apricotmill.testhelpers.service.ServiceOperation;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class AtMostOnceCallTest {

  private static final Duration TIME_LIMIT = Duration.ofSeconds(8);
  private static final String KEY = "order-17";

  private final Deployment deployment = Deployment.started(3);
  private final TestClient client = new TestClient(deployment);

  @Test
  void anOrderRunsOnceAndItsRepeatGetsTheFirstResponse() {
    RecordedCall first = placeOrder(0);
    deployment.advance(Duration.ofSeconds(1));
    RecordedCall repeat = placeOrder(3);
    deployment.advance(Duration.ofSeconds(1));
    assertThat(first.outcome()).hasValue(new Outcome.Answered(201));
    assertThat(repeat.outcome()).hasValue(new Outcome.Answered(201));
    assertThat(repeat.responses().get(0).replayed()).isTrue();
    assertThat(repeat.responses().get(0).response()).isEqualTo(first.responses().get(0).response());
    assertThat(executions()).isEqualTo(1);
  }

  @Test
  void theSameKeySentToSixDaemonsAtOnceRunsOnce() {
    for (int index = 0; index < 6; index++) {
      placeOrder(index);
    }
    deployment.advance(TIME_LIMIT);
    assertThat(executions()).isEqualTo(1);
    for (RecordedCall call : client.recordedCalls()) {
      assertThat(call.outcome()).hasValue(new Outcome.Answered(201));
    }
  }

  @Test
  void anOrderWhoseResponseIsLostIsUnknownAndItsRepeatNeverRuns() {
    deployment.service().faults().once(ServiceOperation.ORDER, Fault.LOST_AFTER_EFFECT);
    RecordedCall first = placeOrder(0);
    deployment.advance(TIME_LIMIT);
    RecordedCall repeat = placeOrder(1);
    deployment.advance(TIME_LIMIT);
    Outcome lost = new Outcome.Unknown(UnknownReason.BACKEND_SILENT);
    assertThat(first.outcome()).hasValue(lost);
    assertThat(repeat.outcome()).hasValue(lost);
    assertThat(executions()).isEqualTo(1);
  }

  @Test
  void anOrderThatNoReplicaAcceptedMayBeRepeated() {
    SampleConfiguration.serviceReplicas()
        .forEach(replica -> deployment.service().setLink(replica.id(), Link.REFUSING));
    RecordedCall first = placeOrder(0);
    deployment.advance(Duration.ofSeconds(2));
    assertThat(first.outcome()).hasValue(refused(RefusalReason.NO_REPLICA));
    SampleConfiguration.serviceReplicas()
        .forEach(replica -> deployment.service().setLink(replica.id(), Link.UP));
    RecordedCall repeat = placeOrder(1);
    deployment.advance(TIME_LIMIT);
    assertThat(repeat.outcome()).hasValue(new Outcome.Answered(201));
    assertThat(executions()).isEqualTo(1);
  }

  @Test
  void anOrderIsRefusedAsNotRunWhileThePlatformIsUnreachable() {
    deployment.platform().fail(PlatformFault.UNREACHABLE);
    RecordedCall first = placeOrder(0);
    deployment.advance(TIME_LIMIT);
    assertThat(first.outcome().orElseThrow().isNotRun()).isTrue();
    assertThat(executions()).isEqualTo(0);
  }

  @Test
  void theRepeatOfAnOrderWhoseDaemonDiedIsUnknown() {
    deployment.service().setServiceTime(Duration.ofSeconds(3));
    placeOrder(0);
    deployment.advance(Duration.ofSeconds(1));
    deployment.daemon(0).kill();
    deployment.advance(Duration.ofSeconds(8));
    RecordedCall repeat = placeOrder(1);
    deployment.advance(TIME_LIMIT);
    assertThat(repeat.outcome()).hasValue(new Outcome.Unknown(UnknownReason.FIRST_RUNNER_GONE));
    assertThat(executions()).isEqualTo(1);
  }

  /** A repeat that is told "not run" would be sent again, under a new key. */
  @Test
  void aRepeatThatExpiresWhileTheFirstOrderRunsIsNotToldAsNotRun() {
    for (int millis : new int[] {200, 600, 900, 3_000}) {
      Deployment daemons = Deployment.started(3);
      TestClient callers = new TestClient(daemons);
      daemons.service().setServiceTime(Duration.ofSeconds(4));
      RecordedCall first = callers.placeOrder(daemons.daemon(0), KEY, TIME_LIMIT);
      daemons.advance(Duration.ofSeconds(1));

      RecordedCall repeat = callers.placeOrder(daemons.daemon(1), KEY, Duration.ofMillis(millis));
      daemons.advance(TIME_LIMIT);

      assertThat(repeat.outcome()).hasValue(new Outcome.Unknown(UnknownReason.FIRST_STILL_RUNNING));
      assertThat(first.outcome()).hasValue(new Outcome.Answered(201));
    }
  }

  @Test
  void anOrderThatWasClaimedBeforeAPauseIsNotDispatchedAfterIt() {
    deployment.platform().setResponseDelay(Duration.ofMillis(400));
    placeOrder(0);
    deployment.advance(Duration.ofMillis(300));
    deployment.daemon(0).pause();
    deployment.advance(Duration.ofSeconds(20));
    deployment.daemon(0).resume();
    deployment.advance(TIME_LIMIT);
    assertThat(executions()).isEqualTo(0);
  }

  private RecordedCall placeOrder(int daemon) {
    return client.placeOrder(deployment.daemon(daemon), KEY, TIME_LIMIT);
  }

  private long executions() {
    return deployment.service().core().orders();
  }

  private static Outcome refused(RefusalReason reason) {
    return new Outcome.Refused(reason, Duration.ofSeconds(1));
  }
}
