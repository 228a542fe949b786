package dev.apricotmill.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.core.configuration.Rule;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.node.api.NodeStatus;
import dev.apricotmill.node.testing.Deployment;
import dev.apricotmill.node.testing.RecordedCall;
import dev.apricotmill.node.testing.RecordedGeneration;
import dev.apricotmill.node.testing.SampleConfiguration;
import dev.apricotmill.node.testing.SimulatedDaemon;
import dev.apricotmill.node.testing.TestClient;
import dev.apricotmill.testhelpers.engine.EngineOperation;
import dev.apricotmill.testhelpers.fault.Fault;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class ServingNodeTest {

  private static final Duration TIME_LIMIT = Duration.ofSeconds(20);

  private final Deployment deployment = Deployment.started(1);
  private final TestClient client = new TestClient(deployment);

  @Test
  void everyDaemonBecomesReadyWithTheAcceptedConfiguration() {
    for (SimulatedDaemon daemon : deployment.daemons()) {
      assertThat(daemon.node().status().phase()).isEqualTo(NodeStatus.Phase.READY);
      assertThat(daemon.node().status().configurationGeneration()).isEqualTo(1);
    }
  }

  @Test
  void aGenerationRequestIsAnsweredCompletelyAndFreesItsMemory() {
    RecordedGeneration generation =
        client.generate(deployment.daemon(0), "how high is the post?", 20, TIME_LIMIT);
    deployment.advance(TIME_LIMIT);
    assertThat(generation.outcome()).hasValue(new Outcome.Answered(200));
    assertThat(generation.isComplete()).isTrue();
    assertThat(heldTokens()).isEqualTo(0);
  }

  @Test
  void aBrokenStreamIsResumedWithoutALostOrDuplicatedToken() {
    deployment
        .engines()
        .values()
        .forEach(engine -> engine.faults().once(EngineOperation.GENERATE, Fault.CUT));
    RecordedGeneration generation =
        client.generate(deployment.daemon(0), "how high is the post?", 40, TIME_LIMIT);
    deployment.advance(TIME_LIMIT);
    assertThat(generation.outcome()).hasValue(new Outcome.Answered(200));
    assertThat(generation.isComplete()).isTrue();
  }

  @Test
  void aGenerationRequestSurvivesTheDeathOfItsSteward() {
    RecordedGeneration generation =
        client.generate(deployment.daemon(0), "how high is the post?", 100, TIME_LIMIT);
    deployment.advance(Duration.ofMillis(500));
    assertThat(generation.tokens()).isGreaterThan(0);
    deployment.daemon(1).kill();
    deployment.advance(TIME_LIMIT);
    assertThat(generation.outcome()).hasValue(new Outcome.Answered(200));
    assertThat(generation.isComplete()).isTrue();
  }

  @Test
  void engineMemoryOfADeadEntryDaemonsRequestsIsFreed() {
    for (int index = 0; index < 4; index++) {
      client.generate(deployment.daemon(0), "prompt " + index, 2_000, Duration.ofMinutes(5));
    }
    deployment.advance(Duration.ofSeconds(1));
    assertThat(heldTokens()).isGreaterThan(0);
    deployment.daemon(0).kill();
    deployment.advance(Duration.ofSeconds(15));
    assertThat(heldTokens()).isEqualTo(0);
  }

  @Test
  void aDeadDaemonIsDeadInItsZoneAndSuspectedElsewhere() {
    SimulatedDaemon dead = deployment.daemon(0);
    dead.kill();
    deployment.advance(Duration.ofSeconds(14));
    for (SimulatedDaemon daemon : deployment.daemons()) {
      if (daemon.isAlive()) {
        boolean sameZone = daemon.zone().equals(dead.zone());
        assertWithMessage(daemon.name())
            .that(stateOf(daemon, dead.name()))
            .isEqualTo(sameZone ? MemberState.DEAD : MemberState.SUSPECT);
      }
    }
  }

  @Test
  void aCustomerOverItsLimitIsRefusedWithARetryAfterTime() {
    int allowed = SampleConfiguration.OPEN_REQUESTS / deployment.daemons().size();
    for (int index = 0; index <= allowed + 1; index++) {
      client.generate(deployment.daemon(0), "question " + index, 20, TIME_LIMIT);
    }
    deployment.advance(Duration.ofMillis(1));
    Outcome last = client.recordedGenerations().get(allowed + 1).outcome().orElseThrow();
    assertThat(last)
        .isEqualTo(new Outcome.Refused(RefusalReason.OVER_LIMIT, Duration.ofSeconds(1)));
    deployment.advance(Duration.ofMinutes(1));
    RecordedGeneration later =
        client.generate(deployment.daemon(0), "a later question", 20, TIME_LIMIT);
    deployment.advance(TIME_LIMIT);
    assertThat(later.outcome()).hasValue(new Outcome.Answered(200));
  }

  @Test
  void aGenerationRequestUnderAnAtMostOnceRuleIsRefusedAsNotRun() {
    deployment.apply(SampleConfiguration.withPoolRule(Rule.Repetition.AT_MOST_ONCE));
    deployment.advance(Duration.ofSeconds(14));
    RecordedGeneration generation =
        client.generate(deployment.daemon(0), "how high is the post?", 20, TIME_LIMIT);
    deployment.advance(TIME_LIMIT);
    assertThat(generation.outcome().orElseThrow().isNotRun()).isTrue();
  }

  @Test
  void aStatusReadIsAnswered() {
    RecordedCall read = client.readStatus(deployment.daemon(2), TIME_LIMIT);
    deployment.advance(Duration.ofSeconds(1));
    assertThat(read.outcome()).hasValue(new Outcome.Answered(200));
  }

  @Test
  void aDrainLetsRunningRequestsFinish() {
    RecordedGeneration generation =
        client.generate(deployment.daemon(0), "how high is the post?", 100, TIME_LIMIT);
    deployment.advance(Duration.ofMillis(300));
    deployment.daemon(0).run(() -> deployment.daemon(0).node().drain());
    deployment.daemon(1).run(() -> deployment.daemon(1).node().drain());
    deployment.advance(TIME_LIMIT);
    assertThat(generation.outcome()).hasValue(new Outcome.Answered(200));
    assertThat(generation.isComplete()).isTrue();
    assertThat(deployment.daemon(0).node().status().phase()).isEqualTo(NodeStatus.Phase.DRAINED);
    assertThat(deployment.daemon(1).node().status().phase()).isEqualTo(NodeStatus.Phase.DRAINED);
  }

  @Test
  void aGenerationThatIsOpenWhenADrainEndsIsReportedAsFailed() {
    RecordedGeneration generation =
        client.generate(
            deployment.daemon(0), "how high is the post?", 5_000, Duration.ofMinutes(5));
    deployment.advance(Duration.ofMillis(300));
    deployment.daemon(0).run(() -> deployment.daemon(0).node().drain());
    assertThat(generation.outcome()).isEmpty();

    deployment.daemon(0).run(() -> deployment.daemon(0).node().endOpenRequests());
    deployment.advance(Duration.ofSeconds(1));

    assertThat(generation.outcome()).hasValue(new Outcome.Failed(FailureReason.STREAM_BROKEN));
    assertThat(generation.ends()).hasSize(1);
    assertThat(deployment.daemon(0).node().status().openRequests()).isEqualTo(0);
  }

  private static MemberState stateOf(SimulatedDaemon daemon, String name) {
    return daemon.node().status().members().stream()
        .filter(member -> member.incarnation().daemon().name().equals(name))
        .findFirst()
        .orElseThrow()
        .state();
  }

  private long heldTokens() {
    long tokens = 0;
    for (ReplicaId replica : deployment.engines().keySet()) {
      tokens += deployment.engines().get(replica).core().usedTokens();
    }
    return tokens;
  }
}
