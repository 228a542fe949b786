package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.ListResult;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/** Reads the head from the platform and watches it while this daemon is one of the watchers. */
final class HeadWatcher {

  private final Timing timing;
  private final Platform platform;
  private final FollowerSettings settings;
  private final RandomGenerator random;
  private final BooleanSupplier isWatcher;
  private final Observer observer;
  private final AtomicBoolean running = new AtomicBoolean();
  private int failures;

  /** Receives the results of reads and watches. */
  interface Observer {

    /** Called with the current head; its generation is zero if there is no configuration. */
    void onHead(ConfigurationHead head);

    /** Called when the platform gave no usable response. */
    void onUnavailable();
  }

  HeadWatcher(
      Timing timing,
      Platform platform,
      FollowerSettings settings,
      RandomGenerator random,
      BooleanSupplier isWatcher,
      Observer observer) {
    this.timing = timing;
    this.platform = platform;
    this.settings = settings;
    this.random = random;
    this.isWatcher = isWatcher;
    this.observer = observer;
  }

  /** Reads the head, then watches it while this daemon is a watcher; no-op if already running. */
  void readAndWatch() {
    if (running.compareAndSet(false, true)) {
      read();
    }
  }

  private void read() {
    platform
        .list(ConfigurationKeys.HEAD.path(), settings.callTimeout())
        .thenAccept(
            result -> {
              if (result instanceof ListResult.Listed listed) {
                failures = 0;
                notifyObserver(listed.objects(), true);
                watch(listed.revision());
              } else {
                backOff();
              }
            });
  }

  private void watch(long revision) {
    if (!isWatcher.getAsBoolean()) {
      running.set(false);
      return;
    }
    Duration maxWait =
        WatcherRotation.remainingInPeriod(timing.clock().instant(), settings.rotationPeriod());
    platform
        .watch(ConfigurationKeys.HEAD.path(), revision, maxWait)
        .thenAccept(
            result -> {
              if (result instanceof WatchResult.Changes changes) {
                notifyObserver(changes.changed(), false);
                watch(changes.revision());
              } else if (result instanceof WatchResult.Compacted) {
                read();
              } else {
                backOff();
              }
            });
  }

  private void notifyObserver(ImmutableList<StoredObject> objects, boolean isFullList) {
    if (objects.isEmpty() && isFullList) {
      observer.onHead(ConfigurationHead.none());
    }
    for (StoredObject object : objects) {
      HeadCodec.decode(object.value()).ifPresent(observer::onHead);
    }
  }

  private void backOff() {
    failures++;
    observer.onUnavailable();
    timing.schedule(settings.backoff().delay(failures, random), () -> running.set(false));
  }
}
