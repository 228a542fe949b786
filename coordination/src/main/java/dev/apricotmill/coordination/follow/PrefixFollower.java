package dev.apricotmill.coordination.follow;

import dev.apricotmill.coordination.platform.ListResult;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Follows the objects under a prefix: lists them, then watches, and lists again when the store has
 * lost the history in between.
 *
 * <p>Pauses after failures grow and are spread at random, so that many processes do not return to
 * the store at once. Reports run on the scheduler of {@link Timing}, one at a time.
 */
public final class PrefixFollower implements AutoCloseable {

  private final Platform platform;
  private final Timing timing;
  private final String prefix;
  private final FollowSettings settings;
  private final FollowListener listener;
  private volatile boolean closed;
  private long revision = -1;
  private int failures;

  /** Creates a follower that does nothing until it is started. */
  public PrefixFollower(
      Platform platform,
      Timing timing,
      String prefix,
      FollowSettings settings,
      FollowListener listener) {
    this.platform = platform;
    this.timing = timing;
    this.prefix = prefix;
    this.settings = settings;
    this.listener = listener;
  }

  /** Begins with a list. */
  public void start() {
    timing.scheduler().execute(this::next);
  }

  @Override
  public void close() {
    closed = true;
  }

  private void next() {
    if (closed) {
      return;
    }
    ReadMoment moment = new ReadMoment(timing.nanoTime(), timing.clock().millis());
    if (revision < 0) {
      platform
          .list(prefix, settings.listTimeout())
          .thenAccept(result -> timing.scheduler().execute(() -> onList(result, moment)));
    } else {
      platform
          .watch(prefix, revision, settings.watchWait())
          .thenAccept(result -> timing.scheduler().execute(() -> onWatch(result, moment)));
    }
  }

  private void onList(ListResult result, ReadMoment moment) {
    if (closed) {
      return;
    }
    if (result instanceof ListResult.Listed listed) {
      failures = 0;
      revision = listed.revision();
      listener.onContent(listed.objects(), moment);
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
      revision = Math.max(revision, changes.revision());
      listener.onChanges(changes, moment);
      next();
    } else if (result instanceof WatchResult.Compacted) {
      revision = -1;
      next();
    } else if (result instanceof WatchResult.Unavailable unavailable) {
      pause(unavailable.failure());
    }
  }

  private void pause(PlatformFailure failure) {
    listener.onUnavailable(failure);
    long most =
        Math.min(
            settings.longestDelay().toMillis(),
            settings.firstDelay().toMillis() << Math.min(failures, 10));
    failures++;
    long millis = ThreadLocalRandom.current().nextLong(most / 2, most + 1);
    timing.schedule(Duration.ofMillis(millis), this::next);
  }
}
