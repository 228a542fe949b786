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

/** Reads the head from the platform and watches it while it is this daemon's turn. */
final class HeadWatcher {

  private final Timing timing;
  private final Platform platform;
  private final FollowerSettings settings;
  private final RandomGenerator random;
  private final BooleanSupplier isTurn;
  private final Observer observer;
  private final AtomicBoolean busy = new AtomicBoolean();
  private int failures;

  /** Receives what the platform says. */
  interface Observer {

    /** Called with the head that stands; generation zero if there is none. */
    void onHead(ConfigurationHead head);

    /** Called when the platform gave no usable answer. */
    void onSilence();
  }

  HeadWatcher(
      Timing timing,
      Platform platform,
      FollowerSettings settings,
      RandomGenerator random,
      BooleanSupplier isTurn,
      Observer observer) {
    this.timing = timing;
    this.platform = platform;
    this.settings = settings;
    this.random = random;
    this.isTurn = isTurn;
    this.observer = observer;
  }

  /** Reads the head and goes on watching while it is this daemon's turn, unless it does already. */
  void readAndWatch() {
    if (busy.compareAndSet(false, true)) {
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
                report(listed.objects(), true);
                watch(listed.revision());
              } else {
                pauseAfterFailure();
              }
            });
  }

  private void watch(long revision) {
    if (!isTurn.getAsBoolean()) {
      busy.set(false);
      return;
    }
    Duration wait = WatchTurn.remaining(timing.clock().instant(), settings.turn());
    platform
        .watch(ConfigurationKeys.HEAD.path(), revision, wait)
        .thenAccept(
            result -> {
              if (result instanceof WatchResult.Changes changes) {
                report(changes.changed(), false);
                watch(changes.revision());
              } else if (result instanceof WatchResult.Compacted) {
                read();
              } else {
                pauseAfterFailure();
              }
            });
  }

  private void report(ImmutableList<StoredObject> objects, boolean complete) {
    if (objects.isEmpty() && complete) {
      observer.onHead(ConfigurationHead.none());
    }
    for (StoredObject object : objects) {
      HeadCodec.decode(object.value()).ifPresent(observer::onHead);
    }
  }

  private void pauseAfterFailure() {
    failures++;
    observer.onSilence();
    timing.schedule(settings.backoff().delay(failures, random), () -> busy.set(false));
  }
}
