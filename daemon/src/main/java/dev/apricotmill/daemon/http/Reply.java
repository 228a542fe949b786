package dev.apricotmill.daemon.http;

import com.google.common.collect.ImmutableMap;

/** Takes the answer to one request, whole or as a stream. Safe for use by several threads. */
public interface Reply {

  /** Sends a whole answer. */
  void send(Answer answer);

  /** Begins a streamed answer, which must be ended or aborted. */
  ReplyStream stream(int status, ImmutableMap<String, String> headers);

  /** Names who learns of the caller's going and reading; called before any answer. */
  void watch(ReplyListener listener);
}
