package dev.apricotmill.coordination.ledger;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.coordination.retry.Backoff;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Three daemons that claim a few keys under injected faults. After each step, checks for each key
 * that at most one attempt may dispatch it. Heads are sealed at almost every update.
 */
final class LedgerSimulation {

  private static final RecordedOutcome DONE = new RecordedOutcome(200, new byte[] {1});
  private static final LedgerSettings FREQUENT_SEALING =
      new LedgerSettings(
          Duration.ofMillis(15),
          Duration.ofMillis(50),
          Duration.ofMinutes(15),
          Duration.ofSeconds(3),
          Duration.ofSeconds(5),
          Duration.ofSeconds(20),
          Duration.ofMillis(1),
          400,
          1500,
          new WriterSettings(
              Duration.ofSeconds(1),
              Duration.ofSeconds(2),
              new Backoff(Duration.ofMillis(50), Duration.ofMillis(500))));

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform(time);
  private final List<LedgerDaemon> daemons;
  private final List<Attempt> attempts = new ArrayList<>();
  private LedgerKey key = keyNumber(0);
  private int keys = 1;

  LedgerSimulation() {
    daemons =
        Stream.of("a", "b", "c")
            .map(
                name ->
                    new LedgerDaemon(time, platform, name, FREQUENT_SEALING, this::mayBeRunning))
            .toList();
  }

  /** One attempt to claim a key. */
  private static final class Attempt {

    private final LedgerDaemon daemon;
    private final ClaimRequest request;
    private Optional<ClaimResult> result = Optional.empty();
    private boolean withdrawn;
    private boolean ended;

    Attempt(LedgerDaemon daemon, ClaimRequest request) {
      this.daemon = daemon;
      this.request = request;
    }

    boolean isClaimed() {
      return result.filter(ClaimResult.Claimed.class::isInstance).isPresent();
    }
  }

  LedgerDaemon daemon(int index) {
    return daemons.get(index);
  }

  FakePlatform platform() {
    return platform;
  }

  void claim(int index) {
    LedgerDaemon daemon = daemons.get(index);
    Attempt attempt = new Attempt(daemon, daemon.request(key));
    attempts.add(attempt);
    daemon
        .ledger()
        .claim(attempt.request)
        .thenAccept(result -> attempt.result = Optional.of(result));
  }

  void nextKey() {
    key = keyNumber(keys++);
  }

  void withdrawLastClaimed() {
    lastClaimed()
        .ifPresent(
            attempt -> {
              attempt.ended = true;
              attempt.withdrawn = true;
              attempt.daemon.ledger().withdraw(attempt.request.key(), attempt.request.nonce());
            });
  }

  void completeLastClaimed() {
    lastClaimed()
        .ifPresent(
            attempt -> {
              attempt.ended = true;
              attempt
                  .daemon
                  .ledger()
                  .complete(attempt.request.key(), attempt.request.nonce(), DONE);
            });
  }

  void failWrites(PlatformFault fault) {
    platform.failNext(2, fault, call -> call.operation() == PlatformOperation.PUT);
  }

  void advance(Duration duration) {
    time.advance(duration);
    checkAtMostOnce();
  }

  /**
   * Ends all faults, and checks that a last claim of every key completes and is not Unavailable.
   */
  void finish() {
    platform.heal();
    daemons.forEach(daemon -> daemon.scheduler().resume());
    advance(Duration.ofSeconds(30));
    for (int number = 0; number < keys; number++) {
      key = keyNumber(number);
      claim(2);
      advance(Duration.ofSeconds(2));
      assertThat(attempts.get(attempts.size() - 1).result).isPresent();
      assertThat(attempts.get(attempts.size() - 1).result.get())
          .isNotInstanceOf(ClaimResult.Unavailable.class);
    }
    for (Attempt attempt : attempts) {
      boolean alive = attempt.daemon.incarnation().equals(attempt.request.runner());
      assertThat(alive && attempt.result.isEmpty()).isFalse();
    }
  }

  private void checkAtMostOnce() {
    for (int number = 0; number < keys; number++) {
      LedgerKey checked = keyNumber(number);
      long dispatchable =
          attempts.stream()
              .filter(attempt -> attempt.request.key().equals(checked))
              .filter(attempt -> attempt.isClaimed() && !attempt.withdrawn)
              .count();
      assertWithMessage("dispatches of key %s", number).that(dispatchable).isAtMost(1);
    }
  }

  private Optional<Attempt> lastClaimed() {
    for (int i = attempts.size() - 1; i >= 0; i--) {
      Attempt attempt = attempts.get(i);
      boolean alive = attempt.daemon.incarnation().equals(attempt.request.runner());
      if (attempt.isClaimed() && !attempt.ended && alive) {
        return Optional.of(attempt);
      }
    }
    return Optional.empty();
  }

  private boolean mayBeRunning(Incarnation incarnation) {
    return daemons.stream().anyMatch(daemon -> daemon.incarnation().equals(incarnation));
  }

  private LedgerKey keyNumber(int number) {
    return TimestampedKeys.at(new VirtualTime().clock().instant(), number);
  }
}
