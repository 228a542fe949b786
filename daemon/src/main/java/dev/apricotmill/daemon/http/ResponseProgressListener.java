package dev.apricotmill.daemon.http;

/** Learns what becomes of an answer on its way to the caller. */
public interface ResponseProgressListener {

  /** Learns that the socket took that many pieces of the stream. */
  void onWritten(int chunks);

  /** Learns that the connection was lost before the answer had ended. */
  void onDisconnected();
}
