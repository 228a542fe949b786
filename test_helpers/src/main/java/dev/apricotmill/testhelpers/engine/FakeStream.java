package dev.apricotmill.testhelpers.engine;

import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.engine.EngineFailure;
import dev.apricotmill.core.engine.EngineRefusal;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.GenerationListener;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.peers.Link;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.Flow;
import java.util.concurrent.Future;

/** One stream from a {@link FakeEngine} to one client. */
final class FakeStream implements Flow.Subscription, TokenSink {

  /** The tokens that come well before a fault in the middle of an answer. */
  private static final int TOKENS_BEFORE_FAULT = 2;

  private final FakeEngine engine;
  private final Timing client;
  private final EngineRequest request;
  private final GenerationListener listener;
  private final Deque<TokenChunk> received = new ArrayDeque<>();
  private Optional<GenerationEnd> end = Optional.empty();
  private Optional<Future<?>> timeout = Optional.empty();
  private Fault fault = Fault.NONE;
  private int tokensSent;
  private long demand;
  private boolean broken;
  private boolean closed;

  FakeStream(FakeEngine engine, Timing client, EngineRequest request, GenerationListener listener) {
    this.engine = engine;
    this.client = client;
    this.request = request;
    this.listener = listener;
  }

  void open() {
    timeout = Optional.of(client.schedule(request.timeLimit(), this::onTimeout));
    engine.timing().schedule(engine.latency(), this::arrive);
  }

  private void arrive() {
    if (engine.link() == Link.SILENT) {
      return;
    }
    if (engine.link() == Link.REFUSING) {
      send(new GenerationEnd.NotStarted(EngineRefusal.UNREACHABLE, Duration.ZERO));
      return;
    }
    fault = engine.faults().take(EngineOperation.GENERATE);
    if (fault == Fault.LOST_BEFORE_EFFECT) {
      return;
    }
    if (fault == Fault.REFUSED) {
      send(new GenerationEnd.NotStarted(EngineRefusal.NOT_SERVING, Duration.ofSeconds(1)));
      return;
    }
    if (engine.core().start(request, this) instanceof StartResult.Refused refused) {
      send(new GenerationEnd.NotStarted(refused.reason(), Duration.ofSeconds(1)));
    } else if (fault == Fault.ERROR) {
      breakWith(EngineFailure.ENGINE_ERROR);
    }
  }

  @Override
  public void onToken(long position, String text) {
    TokenChunk chunk = new TokenChunk(request.sequence().request(), position, 1, text);
    tokensSent++;
    if (tokensSent <= TOKENS_BEFORE_FAULT) {
      if (fault != Fault.LOST_AFTER_EFFECT) {
        send(chunk);
      }
      return;
    }
    switch (fault) {
      case CUT, TRUNCATED -> breakWith(EngineFailure.CONNECTION_LOST);
      case MALFORMED, OVERSIZE -> breakWith(EngineFailure.MALFORMED);
      case FROZEN, LOST_AFTER_EFFECT -> broken = true;
      case FOREIGN_CHUNK -> send(new TokenChunk(new RequestId("foreign"), position, 1, text));
      case DUPLICATED_CHUNK -> {
        send(chunk);
        send(chunk);
      }
      default -> send(chunk);
    }
  }

  @Override
  public void onFinished(long promptTokens, long outputTokens) {
    if (fault != Fault.LOST_AFTER_EFFECT && fault != Fault.FROZEN) {
      send(
          new GenerationEnd.Finished(
              GenerationEnd.FinishReason.LENGTH, promptTokens, outputTokens));
    }
  }

  @Override
  public void onGone() {
    breakWith(engine.core().isDead() ? EngineFailure.CONNECTION_LOST : EngineFailure.ENGINE_ERROR);
  }

  private void breakWith(EngineFailure failure) {
    send(new GenerationEnd.Broken(failure));
    broken = true;
  }

  private void send(TokenChunk chunk) {
    if (mayPass()) {
      client.schedule(delay(), () -> receive(chunk));
    }
  }

  private void send(GenerationEnd newEnd) {
    if (mayPass() || engine.core().isDead()) {
      client.schedule(delay(), () -> receive(newEnd));
    }
  }

  /** A stream that lost a message to a cut link never goes on. */
  private boolean mayPass() {
    broken |= engine.link() != Link.UP && engine.link() != Link.REFUSING;
    return !broken;
  }

  private Duration delay() {
    return fault == Fault.LATE ? engine.latency().plus(engine.lateness()) : engine.latency();
  }

  private void receive(TokenChunk chunk) {
    received.add(chunk);
    deliver();
  }

  private void receive(GenerationEnd newEnd) {
    if (end.isEmpty()) {
      end = Optional.of(newEnd);
      deliver();
    }
  }

  private void onTimeout() {
    if (!closed) {
      cancelOnEngine();
      end = Optional.of(new GenerationEnd.Broken(EngineFailure.SILENT));
      deliver();
    }
  }

  private void deliver() {
    boolean cutShort = end.isPresent() && end.get() instanceof GenerationEnd.Broken;
    while (!closed && !cutShort && demand > 0 && !received.isEmpty()) {
      demand--;
      listener.onChunk(received.remove());
    }
    if (!closed && end.isPresent() && (cutShort || received.isEmpty())) {
      close();
      listener.onEnd(end.get());
    }
  }

  private void close() {
    closed = true;
    timeout.ifPresent(task -> task.cancel(false));
  }

  private void cancelOnEngine() {
    engine
        .timing()
        .schedule(
            engine.latency(),
            () -> {
              if (engine.link() == Link.UP
                  && engine.faults().take(EngineOperation.CANCEL) != Fault.LOST_BEFORE_EFFECT) {
                engine.core().cancel(request.sequence());
              }
            });
  }

  @Override
  public void request(long chunks) {
    demand += chunks;
    client.schedule(Duration.ZERO, this::deliver);
  }

  @Override
  public void cancel() {
    if (!closed) {
      close();
      cancelOnEngine();
    }
  }
}
