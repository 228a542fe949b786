package dev.apricotmill.protocol;

/** The client side of a stream. Thread-safe. */
public interface ClientStream {

  /** Allows the server to send {@code responses} more responses, not counting the final one. */
  void grantCredit(long responses);

  /** Cancels the stream; calls to the listener stop once this has run on the event loop. */
  void cancel();
}
