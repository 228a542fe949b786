package dev.apricotmill.node.call;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.outcome.UnknownReason;
import dev.apricotmill.node.testing.Caller;
import dev.apricotmill.node.testing.Deployment;
import dev.apricotmill.node.testing.Ordered;
import dev.apricotmill.node.testing.SampleConfiguration;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.peers.Link;
import dev.apricotmill.testhelpers.service.ServiceOperation;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class AtMostOnceCallTest {

  private static final Duration LIMIT = Duration.ofSeconds(8);
  private static final String KEY = "order-17";

  private final Deployment deployment = Deployment.started(3);
  private final Caller caller = new Caller(deployment);

  @Test
  void anOrderRunsOnceAndItsRepeatGetsTheFirstAnswer() {
    Ordered first = order(0);
    deployment.advance(Duration.ofSeconds(1));
    Ordered repeat = order(3);
    deployment.advance(Duration.ofSeconds(1));
    assertThat(first.outcome()).hasValue(new Outcome.Answered(201));
    assertThat(repeat.outcome()).hasValue(new Outcome.Answered(201));
    assertThat(repeat.answers().get(0).replayed()).isTrue();
    assertThat(repeat.answers().get(0).response()).isEqualTo(first.answers().get(0).response());
    assertThat(executions()).isEqualTo(1);
  }

  @Test
  void theSameKeyAtSixDaemonsAtOnceRunsOnce() {
    for (int index = 0; index < 6; index++) {
      order(index);
    }
    deployment.advance(LIMIT);
    assertThat(executions()).isEqualTo(1);
    for (Ordered call : caller.ordered()) {
      assertThat(call.outcome()).hasValue(new Outcome.Answered(201));
    }
  }

  @Test
  void anOrderWhoseAnswerIsLostIsUnknownAndItsRepeatNeverRuns() {
    deployment.service().faults().once(ServiceOperation.ORDER, Fault.LOST_AFTER_EFFECT);
    Ordered first = order(0);
    deployment.advance(LIMIT);
    Ordered repeat = order(1);
    deployment.advance(LIMIT);
    Outcome lost = new Outcome.Unknown(UnknownReason.BACKEND_SILENT);
    assertThat(first.outcome()).hasValue(lost);
    assertThat(repeat.outcome()).hasValue(lost);
    assertThat(executions()).isEqualTo(1);
  }

  @Test
  void anOrderThatNoReplicaTookMayBeRepeated() {
    SampleConfiguration.serviceReplicas()
        .forEach(replica -> deployment.service().setLink(replica.id(), Link.REFUSING));
    Ordered first = order(0);
    deployment.advance(Duration.ofSeconds(2));
    assertThat(first.outcome()).hasValue(refused(RefusalReason.NO_REPLICA));
    SampleConfiguration.serviceReplicas()
        .forEach(replica -> deployment.service().setLink(replica.id(), Link.UP));
    Ordered repeat = order(1);
    deployment.advance(LIMIT);
    assertThat(repeat.outcome()).hasValue(new Outcome.Answered(201));
    assertThat(executions()).isEqualTo(1);
  }

  @Test
  void withoutThePlatformAnOrderIsRefusedAsNotRun() {
    deployment.platform().fail(PlatformFault.UNREACHABLE);
    Ordered first = order(0);
    deployment.advance(LIMIT);
    assertThat(first.outcome().orElseThrow().isNotRun()).isTrue();
    assertThat(executions()).isEqualTo(0);
  }

  @Test
  void theRepeatOfAnOrderWhoseDaemonDiedIsUnknown() {
    deployment.service().setServiceTime(Duration.ofSeconds(3));
    order(0);
    deployment.advance(Duration.ofSeconds(1));
    deployment.daemon(0).kill();
    deployment.advance(Duration.ofSeconds(8));
    Ordered repeat = order(1);
    deployment.advance(LIMIT);
    assertThat(repeat.outcome()).hasValue(new Outcome.Unknown(UnknownReason.FIRST_RUNNER_GONE));
    assertThat(executions()).isEqualTo(1);
  }

  @Test
  void anOrderThatWasClaimedBeforeAPauseIsNotDispatchedAfterIt() {
    deployment.platform().setResponseDelay(Duration.ofMillis(400));
    order(0);
    deployment.advance(Duration.ofMillis(300));
    deployment.daemon(0).freeze();
    deployment.advance(Duration.ofSeconds(20));
    deployment.daemon(0).wake();
    deployment.advance(LIMIT);
    assertThat(executions()).isEqualTo(0);
  }

  private Ordered order(int daemon) {
    return caller.order(deployment.daemon(daemon), KEY, LIMIT);
  }

  private long executions() {
    return deployment.service().core().orders();
  }

  private static Outcome refused(RefusalReason reason) {
    return new Outcome.Refused(reason, Duration.ofSeconds(1));
  }
}
