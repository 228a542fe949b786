package dev.apricotmill.coordination.follow;

import dev.apricotmill.coordination.platform.ListResult;
import dev.apricotmill.coordination.platform.MachineListResult;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.platform.WriteResult;
import dev.apricotmill.coordination.time.ResponseLimits;
import dev.apricotmill.coordination.time.ResponseTimer;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A client of the store whose results arrive over a slow link, within the limits of a client. */
final class SlowLinkPlatform implements Platform {

  /** The time that a client of the store allows for a watch to respond, beyond its wait. */
  private static final Duration WATCH_GRACE = Duration.ofMillis(600);

  private final Platform store;
  private final SlowLink link;
  private final Timing timing;

  SlowLinkPlatform(Platform store, SlowLink link, Timing timing) {
    this.store = store;
    this.link = link;
    this.timing = timing;
  }

  static int bytesOf(Collection<StoredObject> objects) {
    return objects.stream().mapToInt(object -> object.value().length).sum();
  }

  static int bytesOf(FollowResponse response) {
    return response.prefixes().values().stream()
        .mapToInt(state -> bytesOf(state.update().changed()))
        .sum();
  }

  /** Completes with {@code result} once its objects have arrived, within the limits of a client. */
  private <T> CompletionStage<T> overLink(
      T result, Collection<StoredObject> objects, Duration begin, T incomplete) {
    int bytes = bytesOf(objects);
    if (bytes == 0) {
      return CompletableFuture.completedFuture(result);
    }
    CompletableFuture<T> arrived = new CompletableFuture<>();
    ResponseTimer timer =
        ResponseTimer.start(
            timing, ResponseLimits.transfer(begin), () -> arrived.complete(incomplete));
    link.send(
        bytes,
        remaining -> {
          timer.onProgress();
          if (remaining == 0) {
            timer.close();
            arrived.complete(result);
          }
        });
    return arrived;
  }

  @Override
  public CompletionStage<ListResult> list(String prefix, Duration timeout) {
    return store
        .list(prefix, timeout)
        .thenCompose(
            result ->
                result instanceof ListResult.Listed listed
                    ? overLink(
                        result,
                        listed.objects(),
                        timeout,
                        new ListResult.Unavailable(PlatformFailure.INCOMPLETE_ANSWER))
                    : CompletableFuture.completedFuture(result));
  }

  @Override
  public CompletionStage<WatchResult> watch(String prefix, long revision, Duration maxWait) {
    return store
        .watch(prefix, revision, maxWait)
        .thenCompose(
            result ->
                result instanceof WatchResult.Changes changes
                    ? overLink(
                        result,
                        changes.changed(),
                        WATCH_GRACE,
                        new WatchResult.Unavailable(PlatformFailure.INCOMPLETE_ANSWER))
                    : CompletableFuture.completedFuture(result));
  }

  @Override
  public CompletionStage<ReadResult> get(ObjectKey key, Duration timeout) {
    return store.get(key, timeout);
  }

  @Override
  public CompletionStage<WriteResult> put(
      ObjectKey key, byte[] value, Precondition precondition, Duration timeout) {
    return store.put(key, value, precondition, timeout);
  }

  @Override
  public CompletionStage<WriteResult> delete(
      ObjectKey key, Precondition precondition, Duration timeout) {
    return store.delete(key, precondition, timeout);
  }

  @Override
  public CompletionStage<MachineListResult> machines(Duration timeout) {
    return store.machines(timeout);
  }
}
