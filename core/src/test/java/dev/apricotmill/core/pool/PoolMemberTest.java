package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.EngineFigures;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Replays long prompts that come while others are being read on the same engine. */
final class PoolMemberTest {

  private static final ServiceName POOL = new ServiceName("pool");
  private static final EngineFigures FIGURES =
      new EngineFigures(11, 450_000, 0.925, 0.007, 0.00254, 256, 0.0917, 46, 13_229);

  private final PoolMember member =
      new PoolMember(
          new BackendServer(
              new ReplicaId("engine"),
              POOL,
              new PeerAddress("10.0.0.1", 80),
              new Zone("a"),
              11,
              true,
              1),
          FIGURES);

  @Test
  void aHelpersPartGoesAheadOfAPromptThatIsBeingReadAndCanMakeItsFirstEventLate() {
    member.addAnswer(ask("review", 1_500), 1_000, 45_000, 0);

    assertThat(member.valueMadeLate(new PoolMember.Reading(300, true), 0)).isEqualTo(0);
    assertThat(member.valueMadeLate(new PoolMember.Reading(600, true), 0)).isGreaterThan(0);
  }

  @Test
  void delaysByOneHelpersPartAfterTheOtherAddUp() {
    member.addAnswer(ask("review", 1_500), 1_000, 45_000, 0);
    member.addHelp(ask("audit", 3_000), 300, 0, 0);

    assertThat(member.valueMadeLate(new PoolMember.Reading(300, true), 0)).isGreaterThan(0);
  }

  @Test
  void anAnswerThatIsBeingWrittenIsMadeLateByAPauseOverItsGoal() {
    member.addAnswer(ask("review", 1_500), 100, 45_000, 0);
    member.endReading(new RequestId("review"), 150);

    assertThat(member.valueMadeLate(new PoolMember.Reading(600, false), 150)).isEqualTo(0);
    assertThat(member.valueMadeLate(new PoolMember.Reading(790, true), 150)).isGreaterThan(0);
  }

  @Test
  void anAnswerThatIsLateAlreadyCountsNoMore() {
    member.addAnswer(ask("review", 1_500), 1_000, 45_000, 0);
    member.addHelp(ask("audit", 3_000), 900, 0, 0);

    assertThat(member.valueMadeLate(new PoolMember.Reading(900, true), 0)).isEqualTo(0);
  }

  private static PlacementAsk ask(String request, long goalMillis) {
    return new PlacementAsk(
        new RequestId(request),
        POOL,
        new GenerationSize(45_000, 800),
        Duration.ofMillis(goalMillis),
        Duration.ofMillis(800),
        Duration.ofSeconds(10),
        ImmutableSet.of());
  }
}
