package dev.apricotmill.core.steward;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.engine.HeldMemory;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class ReplicaSchedulerTest {

  private static final EngineProfile PROFILE = new EngineProfile(450_000, 30_000, 40, 256);

  private final ReplicaScheduler scheduler =
      new ReplicaScheduler(PROFILE, Objective.SHORT_REQUEST_SLOWDOWN);

  @Test
  void aShortRequestIsDispatchedWithALongPrefillAndBeforeIt() {
    offer("long", 200_000);
    offer("short", 1_500);
    ImmutableList<QueueDecision> decisions = scheduler.poll(0);
    assertThat(ids(decisions)).containsExactly("short", "long").inOrder();
    assertThat(((QueueDecision.Dispatch) decisions.get(0)).enginePriority())
        .isLessThan(((QueueDecision.Dispatch) decisions.get(1)).enginePriority());
  }

  @Test
  void aSecondLongPromptWaitsUnlessItIsMuchShorter() {
    offer("first", 150_000);
    assertThat(ids(scheduler.poll(0))).containsExactly("first");
    offer("as long", 150_000);
    offer("much shorter", 40_000);
    assertThat(ids(scheduler.poll(0))).containsExactly("much shorter");
    scheduler.onFirstToken(new RequestId("much shorter"), 40_000, seconds(2));
    scheduler.release(new RequestId("much shorter"), seconds(3));
    assertThat(ids(scheduler.poll(seconds(3)))).isEmpty();
    scheduler.onFirstToken(new RequestId("first"), 150_000, seconds(8));
    assertThat(ids(scheduler.poll(seconds(8)))).containsExactly("as long");
  }

  @Test
  void shortRequestsLeaveALongPromptItsShareOfTheEngine() {
    offer("long", 300_000);
    scheduler.poll(0);
    long dispatched = 0;
    for (int step = 0; step < 1_000; step++) {
      long now = step * TimeUnit.MILLISECONDS.toNanos(10);
      scheduler.offer(Requests.request("short " + step, 1_000), now);
      for (QueueDecision decision : scheduler.poll(now)) {
        dispatched += 1_000;
        scheduler.onFirstToken(decision.request(), 1_000, now);
        scheduler.release(decision.request(), now);
      }
    }
    double offeredInTenSeconds = 1_000_000;
    assertThat((double) dispatched).isLessThan(offeredInTenSeconds * 0.5);
    assertThat(dispatched).isGreaterThan(200_000);
  }

  @Test
  void aRequestThatCannotMeetItsDeadlineIsRefusedAtOnceWithARetryDelay() {
    offer("long", 400_000);
    scheduler.poll(0);
    GenerationRequest shortDeadline = Requests.request("h", "c", 200_000, Duration.ofSeconds(5));
    AdmissionDecision.Refused refused =
        (AdmissionDecision.Refused) scheduler.offer(shortDeadline, 0);
    assertThat(refused.reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
    assertThat(refused.retryAfter()).isGreaterThan(Duration.ofSeconds(1));
  }

  @Test
  void aRequestLargerThanTheEngineNeverFitsHere() {
    assertThat(scheduler.offer(Requests.request("huge", 450_001), 0))
        .isEqualTo(new AdmissionDecision.Refused(RefusalReason.NEVER_FITS, Duration.ZERO));
  }

  @Test
  void aGroupMemberIsHeldUntilItIsCommitted() {
    GenerationRequest part = Requests.request("part", 300_000);
    assertThat(scheduler.offerGroupMember(part, 0)).isInstanceOf(AdmissionDecision.Admitted.class);
    assertThat(scheduler.poll(0)).containsExactly(new QueueDecision.Hold(part.id()));
    assertThat(scheduler.load(0).reservedTokens()).isEqualTo(300_100);
    assertThat(scheduler.commitGroupMember(part.id(), 1))
        .isInstanceOf(QueueDecision.Dispatch.class);
    assertThat(scheduler.release(part.id(), 2)).isTrue();
    assertThat(scheduler.load(2).reservedTokens()).isEqualTo(0);
  }

  @Test
  void anUncommittedGroupMemberIsReleasedAtItsDeadline() {
    GenerationRequest part = Requests.request("part", "c", 100_000, Duration.ofSeconds(30));
    scheduler.offerGroupMember(part, 0);
    scheduler.poll(0);
    scheduler.poll(seconds(30));
    assertThat(scheduler.load(seconds(30)).reservedTokens()).isEqualTo(0);
    assertThat(scheduler.commitGroupMember(part.id(), seconds(31)))
        .isInstanceOf(QueueDecision.Refuse.class);
  }

  @Test
  void sequencesHeldBeforeATakeoverAreAccountedForUntilTheyEnd() {
    RequestId old = new RequestId("old");
    scheduler.adopt(held(old, Duration.ofSeconds(30)), 0);
    scheduler.adopt(held(new RequestId("older"), Duration.ofSeconds(10)), 0);
    assertThat(scheduler.load(0).reservedTokens()).isEqualTo(200_000);
    assertThat(scheduler.offer(Requests.request("old", 1_000), 0))
        .isInstanceOf(AdmissionDecision.Refused.class);
    scheduler.poll(seconds(10));
    assertThat(scheduler.load(seconds(10)).reservedTokens()).isEqualTo(100_000);
    assertThat(scheduler.release(old, seconds(11))).isTrue();
    assertThat(scheduler.release(old, seconds(11))).isFalse();
    assertThat(scheduler.load(seconds(11)).reservedTokens()).isEqualTo(0);
  }

  @Test
  void aWaitingRequestPastItsDeadlineIsRefused() {
    offer("first", 400_000);
    GenerationRequest second = Requests.request("second", "c", 400_000, Duration.ofSeconds(100));
    scheduler.offer(second, 0);
    scheduler.poll(0);
    List<QueueDecision> decisions = scheduler.poll(seconds(100));
    assertThat(decisions).hasSize(1);
    assertThat(((QueueDecision.Refuse) decisions.get(0)).reason()).isEqualTo(RefusalReason.EXPIRED);
  }

  @Property(tries = 1_000, seed = "20261204")
  void everyRequestEndsOnceAndAllMemoryIsReleased(@ForAll("steps") List<Step> steps) {
    ReplicaScheduler tested = new ReplicaScheduler(PROFILE, Objective.TIME_TO_FIRST_TOKEN);
    Set<RequestId> dispatched = new HashSet<>();
    Set<RequestId> waiting = new HashSet<>();
    long now = 0;
    for (Step step : steps) {
      now += step.nanos;
      GenerationRequest request =
          Requests.request(
              "r" + step.number,
              "c" + step.number % 3,
              step.tokens,
              Duration.ofNanos(now).plusSeconds(60));
      boolean open = dispatched.contains(request.id());
      switch (step.kind) {
        case OFFER -> {
          if (tested.offer(request, now) instanceof AdmissionDecision.Admitted) {
            assertThat(waiting.add(request.id())).isTrue();
          }
        }
        case FIRST_TOKEN -> tested.onFirstToken(request.id(), step.tokens, now);
        case WITHDRAW ->
            assertThat(tested.withdraw(request.id(), now)).isEqualTo(waiting.remove(request.id()));
        case RELEASE -> {
          assertThat(tested.release(request.id(), now)).isEqualTo(open);
          dispatched.remove(request.id());
        }
      }
      for (QueueDecision decision : tested.poll(now)) {
        assertThat(waiting.remove(decision.request())).isTrue();
        if (decision instanceof QueueDecision.Dispatch) {
          assertThat(dispatched.add(decision.request())).isTrue();
        }
      }
      ReplicaLoad load = tested.load(now);
      assertThat(load.reservedTokens()).isAtLeast(0);
      assertThat(load.reservedTokens()).isAtMost(PROFILE.memoryTokens());
      assertThat(load.queuedPromptTokens()).isAtLeast(0);
    }
    for (RequestId id : dispatched) {
      assertThat(tested.release(id, now)).isTrue();
    }
    for (QueueDecision decision : tested.poll(now + TimeUnit.MINUTES.toNanos(2))) {
      assertThat(waiting.remove(decision.request())).isTrue();
    }
    assertThat(waiting).isEmpty();
    ReplicaLoad finalLoad = tested.load(now + TimeUnit.MINUTES.toNanos(2));
    assertThat(finalLoad.reservedTokens()).isEqualTo(0);
    assertThat(finalLoad.queuedRequests()).isEqualTo(0);
    assertThat(finalLoad.queuedPromptTokens()).isEqualTo(0);
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.integers().between(0, 12),
            Arbitraries.of(1_000L, 3_000L, 20_000L, 100_000L, 300_000L, 449_000L),
            Arbitraries.longs().between(0, TimeUnit.SECONDS.toNanos(3)))
        .as(Step::new)
        .list()
        .ofMaxSize(50);
  }

  private void offer(String id, long tokens) {
    assertThat(scheduler.offer(Requests.request(id, tokens), 0))
        .isInstanceOf(AdmissionDecision.Admitted.class);
  }

  private static HeldMemory.Sequence held(RequestId request, Duration remaining) {
    Incarnation owner = new Incarnation(new DaemonId("dead"), 1);
    return new HeldMemory.Sequence(new SequenceId(owner, request, 1), 100_000, remaining);
  }

  private static List<String> ids(List<QueueDecision> decisions) {
    return decisions.stream().map(decision -> decision.request().value()).toList();
  }

  private static long seconds(long seconds) {
    return TimeUnit.SECONDS.toNanos(seconds);
  }

  enum Kind {
    OFFER,
    FIRST_TOKEN,
    WITHDRAW,
    RELEASE
  }

  record Step(Kind kind, int number, long tokens, long nanos) {}
}
