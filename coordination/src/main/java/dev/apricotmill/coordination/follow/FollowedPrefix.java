package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.ListResult;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;

/**
 * One prefix: what is known of it, and the reads of the store when it is this process's turn.
 *
 * <p>Lists once, then watches, and lists again when the store has lost the history in between.
 * Pauses after failures grow, are spread at random and are longer further back in the order, so
 * that many processes do not return to the store at once.
 */
final class FollowedPrefix {

  /** The time that each place in the order leaves to those before it for a first read. */
  private static final Duration FIRST_READ_SPREAD = Duration.ofMillis(150);

  /** Pauses after failures end here, however far back in the order. */
  private static final Duration LONGEST_PAUSE = Duration.ofSeconds(4);

  private static final int MAXIMUM_DOUBLINGS = 10;

  /** A wait that would be shorter goes on to the next multiple. */
  private static final Duration SHORTEST_WAIT = Duration.ofMillis(20);

  private final Platform platform;
  private final Timing timing;
  private final String prefix;
  private final FollowSettings settings;
  private final FollowListener listener;
  private final IntSupplier rank;
  private final Runnable onNews;
  private final PrefixContent content = new PrefixContent();
  private @Nullable ReadMoment proof;
  private ReadMoment begun;
  private boolean historyLost = true;
  private boolean closed;
  private int failures;

  /**
   * Creates a prefix that does nothing until it is started.
   *
   * @param rank this process's place among those that follow the store
   * @param onNews learns that the content changed or was proven anew
   */
  FollowedPrefix(
      Platform platform,
      Timing timing,
      String prefix,
      FollowSettings settings,
      FollowListener listener,
      IntSupplier rank,
      Runnable onNews) {
    this.platform = platform;
    this.timing = timing;
    this.prefix = prefix;
    this.settings = settings;
    this.listener = listener;
    this.rank = rank;
    this.onNews = onNews;
    begun = now();
  }

  /** Begins to follow; called on the scheduler of {@link Timing}. */
  void start() {
    begun = now();
    next();
  }

  void close() {
    closed = true;
  }

  Duration freshness() {
    return settings.freshness();
  }

  long revision() {
    return content.revision();
  }

  boolean hasNewsFor(long peerRevision) {
    return content.isKnown() && !content.since(peerRevision).isEmpty();
  }

  /** Returns what a peer lacks, empty if nothing is known. */
  Optional<FollowAnswer.News> newsFor(long peerRevision) {
    return content.isKnown()
        ? Optional.of(new FollowAnswer.News(content.since(peerRevision), age()))
        : Optional.empty();
  }

  /** Returns whether peers are needed, beside the store, to keep the content fresh. */
  boolean isOld() {
    return !isYoungerThan(FollowOrder.turn(1, settings.freshness()));
  }

  /** Returns whether a peer's proof is too old to follow that peer. */
  boolean isTooOld(Optional<ReadMoment> proven) {
    return proven
        .flatMap(moment -> moment.ageOnBothClocks(timing.nanoTime(), timing.clock().millis()))
        .filter(age -> age.compareTo(FollowOrder.lastTurn(settings.freshness())) <= 0)
        .isEmpty();
  }

  /** Takes what a peer knows. A first content counts only with a fresh proof. */
  void takeFromPeer(PrefixUpdate update, Optional<ReadMoment> proven) {
    if (!content.isKnown() && isTooOld(proven)) {
      return;
    }
    take(update, proven);
  }

  private void next() {
    if (closed) {
      return;
    }
    Duration wait = untilTurn();
    if (wait.isNegative() || wait.isZero()) {
      read();
    } else {
      timing.schedule(wait, this::next);
    }
  }

  private Duration untilTurn() {
    int place = rank.getAsInt();
    if (!content.isKnown()) {
      return FIRST_READ_SPREAD.multipliedBy(place).minus(begun.age(timing.nanoTime()));
    }
    return age()
        .map(age -> FollowOrder.turn(place, settings.freshness()).minus(age))
        .orElse(Duration.ZERO);
  }

  private void read() {
    ReadMoment moment = now();
    if (historyLost) {
      platform
          .list(prefix, settings.listTimeout())
          .thenAccept(result -> timing.scheduler().execute(() -> onList(result, moment)));
    } else {
      platform
          .watch(prefix, content.revision(), watchWait())
          .thenAccept(result -> timing.scheduler().execute(() -> onWatch(result, moment)));
    }
  }

  /**
   * A watch proves the content only when it ends: one without a wait renews an old proof. Waits end
   * at multiples of their length, so that prefixes of one length are proven together and their
   * proofs travel in one answer.
   */
  private Duration watchWait() {
    Duration longest = settings.watchWait();
    if (rank.getAsInt() != 0 || !isYoungerThan(longest.multipliedBy(2))) {
      return Duration.ZERO;
    }
    Duration left = longest.minusNanos(Math.floorMod(timing.nanoTime(), longest.toNanos()));
    return left.compareTo(SHORTEST_WAIT) < 0 ? left.plus(longest) : left;
  }

  private boolean isYoungerThan(Duration bound) {
    return age().filter(age -> age.compareTo(bound) <= 0).isPresent();
  }

  private void onList(ListResult result, ReadMoment moment) {
    if (closed) {
      return;
    }
    if (result instanceof ListResult.Listed listed) {
      failures = 0;
      historyLost = false;
      take(
          new PrefixUpdate(true, listed.objects(), ImmutableList.of(), listed.revision()),
          Optional.of(moment));
      next();
    } else if (result instanceof ListResult.Unavailable unavailable) {
      pause(unavailable.failure());
    }
  }

  private void onWatch(WatchResult result, ReadMoment moment) {
    if (closed) {
      return;
    }
    if (result instanceof WatchResult.Changes changes) {
      failures = 0;
      take(
          new PrefixUpdate(false, changes.changed(), changes.removed(), changes.revision()),
          Optional.of(moment));
      boolean quiet = changes.changed().isEmpty() && changes.removed().isEmpty();
      timing.schedule(quiet ? Duration.ZERO : settings.gathering(), this::next);
    } else if (result instanceof WatchResult.Compacted) {
      historyLost = true;
      next();
    } else if (result instanceof WatchResult.Unavailable unavailable) {
      pause(unavailable.failure());
    }
  }

  private void pause(PlatformFailure failure) {
    listener.onUnavailable(failure);
    long doubled = settings.firstDelay().toMillis() << Math.min(failures, MAXIMUM_DOUBLINGS);
    long most =
        Math.min(
            Math.min(doubled, settings.longestDelay().toMillis()) * (1 + rank.getAsInt()),
            LONGEST_PAUSE.toMillis());
    failures++;
    long millis = ThreadLocalRandom.current().nextLong(most / 2, most + 1);
    timing.schedule(Duration.ofMillis(millis), this::next);
  }

  private void take(PrefixUpdate update, Optional<ReadMoment> proven) {
    Optional<PrefixUpdate> taken = content.take(update);
    if (taken.isEmpty()) {
      return;
    }
    historyLost = false;
    boolean renewed = proven.isPresent() && (proof == null || proven.get().isAfter(proof));
    if (renewed) {
      proof = proven.get();
    }
    if (proof == null || (!renewed && taken.get().isEmpty())) {
      return;
    }
    if (taken.get().whole()) {
      listener.onContent(taken.get().changed(), proof);
    } else {
      listener.onChanges(
          new WatchResult.Changes(
              taken.get().changed(), taken.get().removed(), taken.get().revision()),
          proof);
    }
    onNews.run();
  }

  private Optional<Duration> age() {
    return Optional.ofNullable(proof)
        .flatMap(moment -> moment.ageOnBothClocks(timing.nanoTime(), timing.clock().millis()));
  }

  private ReadMoment now() {
    return new ReadMoment(timing.nanoTime(), timing.clock().millis());
  }
}
