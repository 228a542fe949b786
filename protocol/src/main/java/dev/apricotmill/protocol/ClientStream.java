package dev.apricotmill.protocol;

/** The asking side of a stream. Safe for use by several threads. */
public interface ClientStream {

  /** Allows that many more responses, the final one not counted. */
  void grantCredit(long responses);

  /** Gives the stream up; no further call reaches the listener once the peer's frames stop. */
  void cancel();
}
