package dev.apricotmill.testhelpers.engine;

import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.http.EventStream;
import dev.apricotmill.testhelpers.http.StandInAnswer;
import dev.apricotmill.testhelpers.http.StandInReply;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Writes one answer as server-sent events, spoiled by a fault. */
final class CompletionWriter implements TokenSink {

  /** The tokens that come well before a fault in the middle of an answer. */
  private static final int TOKENS_BEFORE_FAULT = 2;

  private static final int OVERSIZE_CHARACTERS = 1 << 20;

  private final RequestId request;
  private final Fault fault;
  private final Duration lateness;
  private final EngineCore core;
  private final StandInReply reply;
  private final List<String> beforeBegin = new ArrayList<>();
  private Optional<EventStream> stream = Optional.empty();
  private int tokens;
  private boolean silent;

  CompletionWriter(
      EngineRequest request, Fault fault, Duration lateness, EngineCore core, StandInReply reply) {
    this.request = request.sequence().request();
    this.fault = fault;
    this.lateness = lateness;
    this.core = core;
    this.reply = reply;
  }

  /** Sends the head of the answer, unless the fault forbids it. */
  synchronized void begin() {
    switch (fault) {
      case LOST_AFTER_EFFECT -> silent = true;
      case ERROR -> {
        silent = true;
        reply.send(StandInAnswer.json(500, "{\"error\":{\"code\":\"internal\"}}"));
      }
      case LATE -> core.schedule(lateness, this::open);
      default -> open();
    }
  }

  private synchronized void open() {
    EventStream opened = reply.stream();
    stream = Optional.of(opened);
    beforeBegin.forEach(event -> write(opened, event));
  }

  private static void write(EventStream stream, String event) {
    stream.send(event);
    if (event.equals("[DONE]")) {
      stream.end();
    }
  }

  private void send(String event) {
    if (silent) {
      return;
    }
    if (stream.isPresent()) {
      write(stream.get(), event);
    } else {
      beforeBegin.add(event);
    }
  }

  @Override
  public synchronized void onToken(long position, String text) {
    tokens++;
    String chunk = EngineJson.chunk(request, position, text);
    if (tokens <= TOKENS_BEFORE_FAULT) {
      send(chunk);
      return;
    }
    switch (fault) {
      case CUT -> breakOff();
      case TRUNCATED -> {
        silent = true;
        stream.ifPresent(EventStream::end);
      }
      case FROZEN -> silent = true;
      case MALFORMED -> send("{\"id\":");
      case OVERSIZE -> send(EngineJson.chunk(request, position, "x".repeat(OVERSIZE_CHARACTERS)));
      case FOREIGN_CHUNK -> send(EngineJson.chunk(new RequestId("foreign"), position, text));
      case DUPLICATED_CHUNK -> {
        send(chunk);
        send(chunk);
      }
      default -> send(chunk);
    }
  }

  @Override
  public synchronized void onFinished(long promptTokens, long outputTokens) {
    send(EngineJson.finish(request, promptTokens, outputTokens));
    send("[DONE]");
  }

  @Override
  public synchronized void onGone() {
    breakOff();
  }

  private void breakOff() {
    silent = true;
    stream.ifPresent(EventStream::breakOff);
  }
}
