package dev.apricotmill.coordination.testing;

import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.ListResult;
import dev.apricotmill.coordination.platform.MachineListResult;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.platform.WriteResult;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** The client of one simulated process for {@link FakePlatform}. */
final class FakePlatformClient implements Platform {

  /** A watch times out this long after its maximum wait. */
  private static final Duration WATCH_TIMEOUT_MARGIN = Duration.ofSeconds(1);

  private final FakePlatform platform;
  private final String process;
  private final Zone zone;
  private final VirtualScheduler callerScheduler;

  FakePlatformClient(FakePlatform platform, String process, Zone zone, VirtualScheduler caller) {
    this.platform = platform;
    this.process = process;
    this.zone = zone;
    this.callerScheduler = caller;
  }

  @Override
  public CompletionStage<ReadResult> get(ObjectKey key, Duration timeout) {
    return call(
        PlatformOperation.GET,
        key.path(),
        timeout,
        () -> platform.objects().get(key),
        ReadResult.Unavailable::new,
        ReadResult.Unavailable::new);
  }

  @Override
  public CompletionStage<ListResult> list(String prefix, Duration timeout) {
    return call(
        PlatformOperation.LIST,
        prefix,
        timeout,
        () -> platform.objects().list(prefix),
        ListResult.Unavailable::new,
        ListResult.Unavailable::new);
  }

  @Override
  public CompletionStage<WriteResult> put(
      ObjectKey key, byte[] value, Precondition precondition, Duration timeout) {
    byte[] copy = value.clone();
    return write(
        PlatformOperation.PUT, key, timeout, () -> platform.objects().put(key, copy, precondition));
  }

  @Override
  public CompletionStage<WriteResult> delete(
      ObjectKey key, Precondition precondition, Duration timeout) {
    return write(
        PlatformOperation.DELETE, key, timeout, () -> platform.objects().delete(key, precondition));
  }

  @Override
  public CompletionStage<MachineListResult> machines(Duration timeout) {
    return call(
        PlatformOperation.MACHINES,
        "",
        timeout,
        platform::machineList,
        MachineListResult.Unavailable::new,
        MachineListResult.Unavailable::new);
  }

  @Override
  public CompletionStage<WatchResult> watch(String prefix, long revision, Duration maxWait) {
    PlatformRequest request = new PlatformRequest(process, zone, PlatformOperation.WATCH, prefix);
    Exchange<WatchResult> exchange = beginExchange(request, maxWait.plus(WATCH_TIMEOUT_MARGIN));
    exchange.timeOutWith(new WatchResult.Unavailable(PlatformFailure.NO_ANSWER));
    if (exchange.refuseIfFaulty(WatchResult.Unavailable::new) || exchange.fault != null) {
      return exchange.response;
    }
    after(halfResponseDelay(), () -> beginWatch(exchange, revision, maxWait));
    return exchange.response;
  }

  private void beginWatch(Exchange<WatchResult> exchange, long revision, Duration maxWait) {
    String prefix = exchange.call.request().path();
    exchange.call.recordEffect(now());
    WatchResult initial = platform.objects().changesSince(prefix, revision);
    if (!(initial instanceof WatchResult.Changes changes) || !isEmpty(changes)) {
      after(halfResponseDelay(), () -> exchange.deliver(initial));
      return;
    }
    CompletableFuture<Void> done = new CompletableFuture<>();
    PendingWatch pendingWatch =
        new PendingWatch(
            exchange.call.request(),
            prefix,
            () -> done.complete(null),
            () -> exchange.deliver(new WatchResult.Unavailable(PlatformFailure.NO_ANSWER)));
    platform.addWatch(pendingWatch);
    after(maxWait, () -> done.complete(null));
    done.thenRun(
        () -> {
          platform.removeWatch(pendingWatch);
          WatchResult result = platform.objects().changesSince(prefix, revision);
          after(halfResponseDelay(), () -> exchange.deliver(result));
        });
  }

  private static boolean isEmpty(WatchResult.Changes changes) {
    return changes.changed().isEmpty() && changes.removed().isEmpty();
  }

  private CompletionStage<WriteResult> write(
      PlatformOperation operation, ObjectKey key, Duration timeout, Supplier<WriteResult> effect) {
    return call(
        operation,
        key.path(),
        timeout,
        () -> {
          WriteResult result = effect.get();
          if (result instanceof WriteResult.Written) {
            platform.notifyWatches(key.path());
          }
          return result;
        },
        WriteResult.NotWritten::new,
        WriteResult.Indeterminate::new);
  }

  private <R> CompletionStage<R> call(
      PlatformOperation operation,
      String path,
      Duration timeout,
      Supplier<R> effect,
      Function<PlatformFailure, R> toRefusal,
      Function<PlatformFailure, R> toNoAnswer) {
    PlatformRequest request = new PlatformRequest(process, zone, operation, path);
    Exchange<R> exchange = beginExchange(request, timeout);
    exchange.timeOutWith(toNoAnswer.apply(PlatformFailure.NO_ANSWER));
    if (!exchange.refuseIfFaulty(toRefusal)) {
      exchange.applyEffect(effect);
    }
    return exchange.response;
  }

  private <R> Exchange<R> beginExchange(PlatformRequest request, Duration timeout) {
    PlatformFault fault = platform.nextFault(request).orElse(null);
    PlatformCall call = new PlatformCall(request, now(), fault);
    platform.log().add(call);
    return new Exchange<>(call, fault, timeout);
  }

  private void after(Duration delay, Runnable task) {
    platform.scheduler().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private Duration halfResponseDelay() {
    return platform.responseDelay().dividedBy(2);
  }

  private long now() {
    return platform.time().nanoTime();
  }

  /** One call and its response. */
  private final class Exchange<R> {

    private final PlatformCall call;
    private final @Nullable PlatformFault fault;
    private final Duration timeout;
    private final CompletableFuture<R> response = new CompletableFuture<>();

    Exchange(PlatformCall call, @Nullable PlatformFault fault, Duration timeout) {
      this.call = call;
      this.fault = fault;
      this.timeout = timeout;
    }

    void timeOutWith(R result) {
      callerScheduler.schedule(() -> complete(result), timeout.toNanos(), TimeUnit.NANOSECONDS);
    }

    boolean refuseIfFaulty(Function<PlatformFailure, R> toRefusal) {
      if (fault == null || fault.refusal().isEmpty()) {
        return false;
      }
      R result = toRefusal.apply(fault.refusal().get());
      after(platform.responseDelay(), () -> deliver(result));
      return true;
    }

    void applyEffect(Supplier<R> effect) {
      PlatformFault.Effect timing = fault == null ? PlatformFault.Effect.IMMEDIATE : fault.effect();
      boolean answered = fault == null || fault.isAnswered();
      if (timing == PlatformFault.Effect.NEVER) {
        return;
      }
      after(
          timing == PlatformFault.Effect.LATE ? platform.slowDelay() : halfResponseDelay(),
          () -> {
            call.recordEffect(now());
            R result = effect.get();
            if (answered) {
              after(halfResponseDelay(), () -> deliver(result));
            }
          });
    }

    void deliver(R result) {
      callerScheduler.execute(() -> complete(result));
    }

    private void complete(R result) {
      if (response.complete(result)) {
        call.recordResponse(now(), result);
      }
    }
  }
}
