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
import dev.apricotmill.coordination.testing.VirtualScheduler;
import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/** A client of the store whose results arrive over a slow link, within the limits of a client. */
final class SlowLinkPlatform implements Platform {

  /** The time that a client of the store allows a watch beyond its wait. */
  private static final Duration WATCH_GRACE = Duration.ofMillis(600);

  private final Platform store;
  private final SlowLink link;
  private final VirtualScheduler scheduler;

  SlowLinkPlatform(Platform store, SlowLink link, VirtualScheduler scheduler) {
    this.store = store;
    this.link = link;
    this.scheduler = scheduler;
  }

  static int bytesOf(Collection<StoredObject> objects) {
    return objects.stream().mapToInt(object -> object.value().length).sum();
  }

  static int bytesOf(FollowResponse response) {
    return response.prefixes().values().stream()
        .mapToInt(state -> bytesOf(state.update().changed()))
        .sum();
  }

  private <T> CompletionStage<T> overLink(
      CompletionStage<T> result, Collection<StoredObject> objects, Duration limit, T incomplete) {
    CompletableFuture<T> arrived = new CompletableFuture<>();
    int bytes = bytesOf(objects);
    if (bytes == 0) {
      return result;
    }
    scheduler.schedule(() -> arrived.complete(incomplete), limit.toNanos(), TimeUnit.NANOSECONDS);
    result.thenAccept(
        value ->
            link.send(
                bytes,
                remaining -> {
                  if (remaining == 0) {
                    arrived.complete(value);
                  }
                }));
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
                        CompletableFuture.completedFuture(result),
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
                        CompletableFuture.completedFuture(result),
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
