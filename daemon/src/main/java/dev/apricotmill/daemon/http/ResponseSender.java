package dev.apricotmill.daemon.http;

import com.google.common.collect.ImmutableMap;

/** Sends the response to one request, complete or as a stream. Thread-safe. */
public interface ResponseSender {

  /** Sends a complete response. */
  void send(CompleteResponse response);

  /** Starts a streamed response, which must be ended or aborted. */
  ResponseStream startStream(int status, ImmutableMap<String, String> headers);

  /** Sets the listener for write progress and disconnects; called before any response. */
  void setListener(ResponseProgressListener listener);
}
