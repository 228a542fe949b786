package dev.apricotmill.daemon.http;

/** Receives the write progress of a response. */
public interface ResponseProgressListener {

  /** Called when {@code chunks} more chunks of the response were written to the socket. */
  void onWritten(int chunks);

  /** Called when the connection was lost before the response was completely written. */
  void onDisconnected();
}
