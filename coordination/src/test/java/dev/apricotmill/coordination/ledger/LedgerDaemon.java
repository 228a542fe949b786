package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** A daemon that consists only of a claims ledger. */
final class LedgerDaemon {

  static final KeyWindow WINDOW = new KeyWindow(Duration.ofMinutes(10), Duration.ofMinutes(1));

  private final VirtualTime time;
  private final FakePlatform platform;
  private final String name;
  private final LedgerSettings settings;
  private final Predicate<Incarnation> mayBeRunning;
  private final RandomGenerator random;
  private VirtualScheduler scheduler;
  private ClaimsLedger ledger;
  private long incarnation = 1;

  LedgerDaemon(
      VirtualTime time,
      FakePlatform platform,
      String name,
      LedgerSettings settings,
      Predicate<Incarnation> mayBeRunning) {
    this.time = time;
    this.platform = platform;
    this.name = name;
    this.settings = settings;
    this.mayBeRunning = mayBeRunning;
    this.random = new SplittableRandom(name.hashCode());
    this.scheduler = time.newScheduler();
    this.ledger = newLedger();
  }

  /** Stops the process without a shutdown and starts the next incarnation. */
  void restart() {
    scheduler.shutdown();
    incarnation++;
    scheduler = time.newScheduler();
    ledger = newLedger();
  }

  Incarnation incarnation() {
    return new Incarnation(new DaemonId(name), incarnation);
  }

  VirtualScheduler scheduler() {
    return scheduler;
  }

  ClaimsLedger ledger() {
    return ledger;
  }

  String name() {
    return name;
  }

  ClaimRequest request(LedgerKey key) {
    return request(key, "order");
  }

  ClaimRequest request(LedgerKey key, String content) {
    return new ClaimRequest(
        key,
        RequestFingerprint.of(content.getBytes(StandardCharsets.UTF_8)),
        incarnation(),
        ClaimNonce.next(random),
        WINDOW);
  }

  CompletableFuture<ClaimResult> claim(LedgerKey key) {
    return ledger.claim(request(key)).toCompletableFuture();
  }

  private ClaimsLedger newLedger() {
    return new ClaimsLedger(
        time.timingOf(scheduler),
        platform.clientFor(name, new Zone("z1"), scheduler),
        settings,
        random,
        mayBeRunning);
  }
}
