package dev.apricotmill.daemon.http;

/** A streamed answer. Safe for use by several threads. */
public interface ResponseStream {

  /** Queues a piece; {@link ResponseProgressListener#onWritten} tells when the socket took it. */
  void write(byte[] chunk);

  /** Ends the answer after the queued pieces. */
  void end();

  /** Breaks the connection, so that the answer is seen to be incomplete. */
  void abort();
}
