package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Short prompts at servers that start or recover, without a network and in virtual milliseconds. A
 * server prefills one prompt after the other, in 26 ms when it is warm.
 */
final class SlowStartReplayTest {

  private static final int SLOTS = 8;
  private static final int PREFILL_MILLIS = 26;
  private static final Duration TARGET = Duration.ofMillis(259);
  private static final double COLD_PER_SECOND = 18;
  private static final int COLD_BOUND = 32;

  private final RampingServers ramps = new RampingServers();
  private final List<Server> servers = new ArrayList<>();
  private int requests;
  private int refused;

  /** A server that the test disturbs. */
  private static final class Server {

    private final BackendServer entry;
    private final IntPredicate failsAt;
    private final IntUnaryOperator prefillMillisAt;
    private final Deque<Running> running = new ArrayDeque<>();
    private final List<Integer> sentMillis = new ArrayList<>();
    private final List<Integer> answeredMillis = new ArrayList<>();
    private final List<Integer> failedMillis = new ArrayList<>();
    private int mostRunning;

    Server(int number, IntPredicate failsAt, IntUnaryOperator prefillMillisAt) {
      entry =
          new BackendServer(
              new ReplicaId("s" + number),
              new ServiceName("pool"),
              new PeerAddress("10.0.0.1", 1 + number),
              new Zone("a"),
              SLOTS,
              true,
              1);
      this.failsAt = failsAt;
      this.prefillMillisAt = prefillMillisAt;
    }

    long countSent(int fromMillis, int endMillis) {
      return sentMillis.stream().filter(at -> at >= fromMillis && at < endMillis).count();
    }

    long countAnswered(int fromMillis, int endMillis) {
      return answeredMillis.stream().filter(at -> at >= fromMillis && at < endMillis).count();
    }

    int mostInOneSecond() {
      return sentMillis.stream()
          .mapToInt(end -> (int) countSent(end - 999, end + 1))
          .max()
          .orElse(0);
    }
  }

  private record Running(RequestId request, int endMillis) {}

  private Server add(IntPredicate failsAt, IntUnaryOperator prefillMillisAt) {
    Server server = new Server(servers.size(), failsAt, prefillMillisAt);
    servers.add(server);
    ramps.begin(server.entry, 0);
    return server;
  }

  /** Offers requests at a steady rate. */
  private void play(int fromMillis, int endMillis, int perSecond, IntPredicate coldAt) {
    for (int now = fromMillis; now < endMillis; now++) {
      for (Server server : servers) {
        advance(server, now);
      }
      if (now * perSecond / 1_000 != (now + 1) * perSecond / 1_000) {
        offer(now, coldAt.test(now));
      }
      boolean cold = coldAt.test(now);
      ramps.endComplete(instances(), server -> cold, nanos(now));
    }
  }

  private ImmutableSet<LimitedServers.Instance> instances() {
    return servers.stream()
        .map(server -> LimitedServers.Instance.of(server.entry))
        .collect(ImmutableSet.toImmutableSet());
  }

  private void advance(Server server, int now) {
    if (server.failsAt.test(now) && !server.running.isEmpty()) {
      server.running.forEach(
          run -> {
            ramps.onFailure(server.entry, nanos(now));
            ramps.onReleased(run.request(), nanos(now));
            server.failedMillis.add(now);
          });
      server.running.clear();
    }
    while (!server.running.isEmpty() && server.running.getFirst().endMillis() <= now) {
      ramps.onAnswered(server.running.removeFirst().request(), nanos(now));
      server.answeredMillis.add(now);
    }
  }

  /** Sends a request to the free server that runs the fewest, as a dispatcher would. */
  private void offer(int now, boolean cold) {
    servers.stream()
        .filter(server -> server.running.size() < SLOTS)
        .filter(server -> ramps.timeUntilFree(server.entry, nanos(now)).isZero())
        .min(Comparator.comparingInt(server -> server.running.size()))
        .ifPresentOrElse(server -> send(server, now, cold), () -> refused++);
  }

  private void send(Server server, int now, boolean cold) {
    RequestId request = new RequestId("r" + requests++);
    ramps.onGranted(server.entry, request, TARGET, nanos(now));
    if (cold) {
      ramps.takeFromColdRate(server.entry, COLD_PER_SECOND, nanos(now));
    }
    server.sentMillis.add(now);
    int begin = server.running.isEmpty() ? now : server.running.getLast().endMillis();
    server.running.addLast(new Running(request, begin + server.prefillMillisAt.applyAsInt(now)));
    server.mostRunning = Math.max(server.mostRunning, server.running.size());
  }

  private static long nanos(int millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Guards against a fixed waiting time for servers that answer on time. */
  @Test
  void aServerThatStartsUnderFullLoadIsAtFullRateWithinASecond() {
    Server server = add(now -> false, now -> PREFILL_MILLIS);
    play(0, 3_000, 100, now -> false);

    assertThat(server.countSent(0, 10)).isAtMost(2);
    assertThat(server.countAnswered(1_000, 2_000)).isAtLeast(37);
    assertThat(ramps.isEmpty()).isTrue();
  }

  /** Guards against a flood of a server that fails, and against a long wait once it answers. */
  @Test
  void aServerThatRecoversGetsSingleRequestsAndThenItsFullRate() {
    Server server = add(now -> now >= 1_000 && now < 4_000, now -> PREFILL_MILLIS);
    play(0, 1_000, 100, now -> false);
    ramps.begin(server.entry, nanos(1_000));
    play(1_000, 9_000, 100, now -> false);

    assertThat(server.countSent(1_030, 4_000)).isAtMost(6);
    assertWithMessage("answered from 2 s and a ramp after the recovery")
        .that(server.countAnswered(7_000, 8_000))
        .isAtLeast(37);
    assertThat(ramps.isEmpty()).isTrue();
  }

  /**
   * Guards against requests that are lost in each short time in which a flapping server answers.
   */
  @Test
  void aServerThatFlapsLosesNoMoreThanItsSlotsAndASingleRequestEachTime() {
    IntPredicate fails = now -> now / 500 % 2 == 1;
    Server flapping = add(fails, now -> PREFILL_MILLIS);
    Server steady = add(now -> false, now -> PREFILL_MILLIS);
    for (int now = 0; now < 10_000; now += 500) {
      ramps.begin(flapping.entry, nanos(now));
      play(now, now + 500, 30, at -> false);
    }

    assertThat(flapping.failedMillis.size()).isAtMost(10 * (SLOTS + 1));
    assertThat(flapping.failedMillis.size()).isAtLeast(2);
    assertWithMessage("answers of the steady server")
        .that(steady.countAnswered(0, 10_000))
        .isAtLeast(200);
  }

  /** Guards against load that stays on a server which does not keep up. */
  @Test
  void aServerThatAnswersLateGetsOneRequestAtATime() {
    Server server = add(now -> false, now -> 400);
    play(0, 8_000, 100, now -> false);

    assertThat(server.mostRunning).isAtMost(2);
    assertThat(server.countSent(1_000, 8_000)).isAtMost(18);
  }

  /**
   * Guards against a zone that crashes again because all of its servers get all requests at once.
   */
  @Test
  void aZoneThatIsColdAtOnceStaysWithinTheRateAndIsAtFullRateAfterwards() {
    for (int i = 0; i < 15; i++) {
      add(now -> false, now -> now < 3_000 ? 4 * PREFILL_MILLIS : PREFILL_MILLIS);
    }
    play(0, 3_000, 400, now -> true);
    for (Server server : servers) {
      assertThat(server.mostInOneSecond()).isAtMost(COLD_BOUND);
      assertThat(server.countSent(0, 3_000)).isAtLeast(12);
    }
    play(3_000, 6_000, 400, now -> false);

    assertThat(ramps.isEmpty()).isTrue();
    assertWithMessage("answers in the second after a second of warmth")
        .that(servers.stream().mapToLong(server -> server.countAnswered(4_000, 5_000)).sum())
        .isAtLeast(380);
  }

  /** Guards against a refusal without end while a server waits for a response that never comes. */
  @Test
  void aRequestWhoseEndIsNeverReportedDoesNotBlockTheServer() {
    Server server = add(now -> false, now -> 1_000_000);
    play(0, 1_000, 10, now -> false);
    assertThat(server.sentMillis).hasSize(2);
    server.running.clear();

    assertThat(ramps.timeUntilFree(server.entry, nanos(16_000))).isEqualTo(Duration.ZERO);
  }
}
