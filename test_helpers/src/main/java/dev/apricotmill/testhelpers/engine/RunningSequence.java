package dev.apricotmill.testhelpers.engine;

import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.testhelpers.StandInText;

/** One sequence that an engine holds. */
final class RunningSequence {

  private final EngineRequest request;
  private final TokenSink sink;
  private final long arrival;
  private final long deadlineNanos;
  private final long promptTokens;
  private final long textSeed;
  private long prefillLeft;
  private long position;

  RunningSequence(
      EngineRequest request, TokenSink sink, long arrival, long deadlineNanos, long cachedTokens) {
    this.request = request;
    this.sink = sink;
    this.arrival = arrival;
    this.deadlineNanos = deadlineNanos;
    this.promptTokens = StandInText.tokens(request.prompt());
    this.textSeed = StandInText.seed(request.prompt());
    this.prefillLeft = Math.max(1, promptTokens + request.resumeAt() - cachedTokens);
    this.position = request.resumeAt();
  }

  EngineRequest request() {
    return request;
  }

  TokenSink sink() {
    return sink;
  }

  long arrival() {
    return arrival;
  }

  int priority() {
    return request.enginePriority();
  }

  long deadlineNanos() {
    return deadlineNanos;
  }

  long memoryTokens() {
    return promptTokens + request.maximumOutputTokens();
  }

  long prefillLeft() {
    return prefillLeft;
  }

  boolean isDecoding() {
    return prefillLeft == 0;
  }

  boolean isFinished() {
    return position >= request.maximumOutputTokens();
  }

  /** Reads prompt tokens; returns whether the prompt is read to its end. */
  boolean prefill(long tokens) {
    prefillLeft = Math.max(0, prefillLeft - tokens);
    return isDecoding();
  }

  void decodeOne() {
    sink.onToken(position, StandInText.token(textSeed, position));
    position++;
  }

  void finish() {
    sink.onFinished(promptTokens, position);
  }
}
