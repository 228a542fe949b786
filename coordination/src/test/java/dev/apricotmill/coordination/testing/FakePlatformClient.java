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

/** {@link FakePlatform} as one process reaches it. */
final class FakePlatformClient implements Platform {

  /** How long after the wait of a watch the caller gives up on its answer. */
  private static final Duration WATCH_GRACE = Duration.ofSeconds(1);

  private final FakePlatform platform;
  private final String process;
  private final Zone zone;
  private final VirtualScheduler caller;

  FakePlatformClient(FakePlatform platform, String process, Zone zone, VirtualScheduler caller) {
    this.platform = platform;
    this.process = process;
    this.zone = zone;
    this.caller = caller;
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
  public CompletionStage<WatchResult> watch(String prefix, long revision, Duration wait) {
    PlatformRequest request = new PlatformRequest(process, zone, PlatformOperation.WATCH, prefix);
    Exchange<WatchResult> exchange = open(request, wait.plus(WATCH_GRACE));
    exchange.giveUpWith(new WatchResult.Unavailable(PlatformFailure.NO_ANSWER));
    if (exchange.refuse(WatchResult.Unavailable::new) || exchange.fault != null) {
      return exchange.answer;
    }
    after(half(), () -> beginWatch(exchange, revision, wait));
    return exchange.answer;
  }

  private void beginWatch(Exchange<WatchResult> exchange, long revision, Duration wait) {
    String prefix = exchange.call.request().path();
    exchange.call.reached(now());
    WatchResult first = platform.objects().changesSince(prefix, revision);
    if (!(first instanceof WatchResult.Changes changes) || !isEmpty(changes)) {
      after(half(), () -> exchange.deliver(first));
      return;
    }
    CompletableFuture<Void> done = new CompletableFuture<>();
    WaitingWatch waiting =
        new WaitingWatch(
            exchange.call.request(),
            prefix,
            () -> done.complete(null),
            () -> exchange.deliver(new WatchResult.Unavailable(PlatformFailure.NO_ANSWER)));
    platform.await(waiting);
    after(wait, () -> done.complete(null));
    done.thenRun(
        () -> {
          platform.forget(waiting);
          WatchResult result = platform.objects().changesSince(prefix, revision);
          after(half(), () -> exchange.deliver(result));
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
            platform.changed(key.path());
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
      Function<PlatformFailure, R> refused,
      Function<PlatformFailure, R> silent) {
    PlatformRequest request = new PlatformRequest(process, zone, operation, path);
    Exchange<R> exchange = open(request, timeout);
    exchange.giveUpWith(silent.apply(PlatformFailure.NO_ANSWER));
    if (!exchange.refuse(refused)) {
      exchange.reach(effect);
    }
    return exchange.answer;
  }

  private <R> Exchange<R> open(PlatformRequest request, Duration timeout) {
    PlatformFault fault = platform.takeFault(request).orElse(null);
    PlatformCall call = new PlatformCall(request, now(), fault);
    platform.log().add(call);
    return new Exchange<>(call, fault, timeout);
  }

  private void after(Duration delay, Runnable task) {
    platform.scheduler().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private Duration half() {
    return platform.answerDelay().dividedBy(2);
  }

  private long now() {
    return platform.time().nanoTime();
  }

  /** One call and its answer. */
  private final class Exchange<R> {

    private final PlatformCall call;
    private final @Nullable PlatformFault fault;
    private final Duration timeout;
    private final CompletableFuture<R> answer = new CompletableFuture<>();

    Exchange(PlatformCall call, @Nullable PlatformFault fault, Duration timeout) {
      this.call = call;
      this.fault = fault;
      this.timeout = timeout;
    }

    void giveUpWith(R result) {
      caller.schedule(() -> complete(result), timeout.toNanos(), TimeUnit.NANOSECONDS);
    }

    boolean refuse(Function<PlatformFailure, R> refused) {
      if (fault == null || fault.refusal().isEmpty()) {
        return false;
      }
      R result = refused.apply(fault.refusal().get());
      after(platform.answerDelay(), () -> deliver(result));
      return true;
    }

    void reach(Supplier<R> effect) {
      PlatformFault.Effect when = fault == null ? PlatformFault.Effect.IN_TIME : fault.effect();
      boolean answered = fault == null || fault.isAnswered();
      if (when == PlatformFault.Effect.NEVER) {
        return;
      }
      after(
          when == PlatformFault.Effect.LATE ? platform.slowDelay() : half(),
          () -> {
            call.reached(now());
            R result = effect.get();
            if (answered) {
              after(half(), () -> deliver(result));
            }
          });
    }

    void deliver(R result) {
      caller.execute(() -> complete(result));
    }

    private void complete(R result) {
      if (answer.complete(result)) {
        call.answered(now(), result);
      }
    }
  }
}
