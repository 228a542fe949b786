package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class PlainServiceSchedulerTest {

  private static final ServiceName DESK = new ServiceName("desk");
  private static final Duration TARGET = Duration.ofMillis(313);
  private static final Duration TIME_LIMIT = Duration.ofSeconds(5);
  private static final ImmutableList<BackendServer> SERVERS =
      IntStream.range(0, 3).mapToObj(i -> server("s" + i)).collect(ImmutableList.toImmutableList());

  private final PlainServiceScheduler scheduler =
      new PlainServiceScheduler(new SplittableRandom(1));
  private long now;
  private int requests;

  private static BackendServer server(String id) {
    return new BackendServer(
        new ReplicaId(id), DESK, new PeerAddress("10.0.0.1", 80), new Zone("a"), 6, true, 1);
  }

  private static PlacementRequest request(String id) {
    return new PlacementRequest(
        new RequestId(id),
        DESK,
        new GenerationSize(0, 0),
        PromptParts.NONE,
        TARGET,
        TARGET,
        TIME_LIMIT,
        ImmutableSet.of());
  }

  private void sleep(Duration duration) {
    now += duration.toNanos();
  }

  private String place() {
    return scheduler.place(request("r" + ++requests), SERVERS, now).orElseThrow().id().value();
  }

  private Optional<PlainServiceScheduler.WeightChange> fail(String server) {
    return scheduler.record(new WorkReport.Failed(DESK, new ReplicaId(server), false), now);
  }

  private Optional<PlainServiceScheduler.WeightChange> end(int request, boolean completed) {
    return scheduler.record(
        new WorkReport.Ended(DESK, new RequestId("r" + request), completed), now);
  }

  /** Places and completes a call each 125 ms, except that those at {@code faulty} fail. */
  private List<String> run(Duration duration, String faulty) {
    List<String> chosen = new ArrayList<>();
    for (int i = 0; i < duration.toMillis() / 125; i++) {
      String server = place();
      chosen.add(server);
      sleep(Duration.ofMillis(25));
      if (server.equals(faulty)) {
        var unused = fail(server);
      }
      var unused = end(requests, !server.equals(faulty));
      sleep(Duration.ofMillis(100));
    }
    return chosen;
  }

  private static long count(List<String> chosen, String server) {
    return chosen.stream().filter(server::equals).count();
  }

  @Test
  void goodServersGetEqualShares() {
    List<String> chosen = run(Duration.ofSeconds(60), "none");

    for (BackendServer server : SERVERS) {
      assertThat(count(chosen, server.id().value())).isAtLeast(150);
    }
  }

  @Test
  void aServerThatFailsAllGetsOnlyOccasionalRequests() {
    List<String> chosen = run(Duration.ofSeconds(60), "s0");

    // One request in two seconds at most, of eight a second, and one in ten seconds at least.
    assertThat(count(chosen, "s0")).isAtMost(30);
    assertThat(count(chosen, "s0")).isAtLeast(6);
  }

  @Test
  void aServerThatGetsWellAgainHasItsShareWithinSeconds() {
    var unused = run(Duration.ofSeconds(30), "s0");
    var unusedEither = run(Duration.ofSeconds(10), "none");

    assertThat(count(run(Duration.ofSeconds(30), "none"), "s0")).isAtLeast(72);
  }

  @Test
  void requestsBeyondTheSlotsOfTheOnlyGoodServerGoToTheOthers() {
    for (int i = 0; i < 3; i++) {
      var unused = fail("s0");
      var unusedEither = fail("s1");
    }
    List<String> chosen = new ArrayList<>();
    for (int i = 0; i < 14; i++) {
      chosen.add(place());
    }

    assertThat(count(chosen, "s2")).isAtLeast(6);
    assertThat(count(chosen, "s2")).isLessThan(14);
  }

  @Test
  void aLateAnswerCountsAsABadOneWhetherOrNotItIsComplete() {
    for (boolean completed : new boolean[] {true, false}) {
      PlainServiceScheduler fresh = new PlainServiceScheduler(new SplittableRandom(1));
      ImmutableList<BackendServer> only = ImmutableList.of(SERVERS.get(0));
      var unused = fresh.place(request("late"), only, now);
      sleep(TARGET.plusMillis(1));

      assertThat(fresh.record(new WorkReport.Ended(DESK, new RequestId("late"), completed), now))
          .hasValue(new PlainServiceScheduler.WeightChange(new ReplicaId("s0"), true));
    }
  }

  @Test
  void anEndInTimeWithoutACompleteResponseTellsNothing() {
    String server = place();
    assertThat(end(requests, false)).isEmpty();

    assertThat(fail(server))
        .hasValue(new PlainServiceScheduler.WeightChange(new ReplicaId(server), true));
  }

  @Test
  void theStartAndTheEndOfFailingAreReportedOnce() {
    assertThat(fail("s0")).isPresent();
    assertThat(fail("s0")).isEmpty();
    sleep(Duration.ofSeconds(30));

    List<Boolean> changes = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      String unused = place();
      end(requests, true).ifPresent(change -> changes.add(change.failing()));
    }
    assertThat(changes).containsExactly(false);
  }

  /** A node that ends reports no end of its requests. */
  @Test
  void aRequestWhoseEndIsNotReportedEndsWithItsTime() {
    for (int i = 0; i < 18; i++) {
      String unused = place();
    }
    sleep(TIME_LIMIT.plusMillis(1));
    var unused = fail("s1");
    var unusedEither = fail("s2");

    // Without the expiry, six requests would be open at each server.
    assertThat(place()).isEqualTo("s0");
    assertThat(place()).isEqualTo("s0");
  }

  @Test
  void aNewDispatcherCountsTheRequestsThatRun() {
    for (int i = 0; i < 4; i++) {
      var unused =
          scheduler.record(
              new WorkReport.Running(
                  request("running" + i),
                  new Placement.Granted(
                      new ReplicaId(i < 2 ? "s0" : "s1"), ImmutableList.of(), TARGET, 0),
                  true),
              now);
    }

    assertThat(place()).isEqualTo("s2");
  }

  @Test
  void theRecordOfAServerThatIsNoLongerListedIsForgotten() {
    assertThat(fail("s0")).isPresent();
    scheduler.retainServers(ImmutableSet.of(new ReplicaId("s1")));

    assertThat(fail("s0")).isPresent();
  }

  @Test
  void noServerIsChosenWhereNoneIsOffered() {
    assertThat(scheduler.place(request("r"), ImmutableList.of(), now)).isEmpty();
  }
}
