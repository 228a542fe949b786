package dev.apricotmill.testhelpers.engine;

/** Receives what an engine generates for one sequence, on the engine's scheduler. */
interface TokenSink {

  /** Takes one token. */
  void onToken(long position, String text);

  /** Takes the end of the answer. */
  void onFinished(long promptTokens, long outputTokens);

  /** Learns that the sequence is gone: cancelled, or lost with the engine. */
  void onGone();
}
