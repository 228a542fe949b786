package dev.apricotmill.adapters;

import org.apache.hc.core5.http.HttpResponse;

/** Takes an answer piece by piece, on an I/O thread. */
public interface StreamedListener {

  /** Takes the head of the answer. */
  void onHead(HttpResponse head);

  /** Takes a piece of the body. */
  void onBody(byte[] piece);

  /** Learns that the answer is whole; it is the last call. */
  void onWhole();

  /** Learns that no whole answer will come; it is the last call. */
  void onFailure(boolean sent, ExchangeFailure failure);
}
