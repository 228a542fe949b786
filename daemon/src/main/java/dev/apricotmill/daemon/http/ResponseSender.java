package dev.apricotmill.daemon.http;

import com.google.common.collect.ImmutableMap;

/** Takes the answer to one request, whole or as a stream. Safe for use by several threads. */
public interface ResponseSender {

  /** Sends a whole answer. */
  void send(CompleteResponse response);

  /** Begins a streamed answer, which must be ended or aborted. */
  ResponseStream startStream(int status, ImmutableMap<String, String> headers);

  /** Names who learns of the caller's going and reading; called before any answer. */
  void setListener(ResponseProgressListener listener);
}
