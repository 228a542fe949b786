package dev.apricotmill.daemon.http;

/** Learns what becomes of an answer on its way to the caller. */
public interface ReplyListener {

  /** Learns that the socket took that many pieces of the stream. */
  void onWritten(int pieces);

  /** Learns that the connection was lost before the answer had ended. */
  void onGone();
}
