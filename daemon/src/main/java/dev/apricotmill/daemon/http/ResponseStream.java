package dev.apricotmill.daemon.http;

/** A streamed response. Thread-safe. */
public interface ResponseStream {

  /** Queues a chunk; {@link ResponseProgressListener#onWritten} reports when it is written. */
  void write(byte[] chunk);

  /** Ends the response after the queued chunks. */
  void end();

  /** Closes the connection, so that the caller can tell that the response is incomplete. */
  void abort();
}
