package dev.apricotmill.adapters;

import org.apache.hc.core5.http.HttpResponse;

/** Takes an answer piece by piece, on an I/O thread. */
public interface StreamedResponseListener {

  /** Takes the head of the answer. */
  void onHead(HttpResponse head);

  /** Takes a piece of the body. */
  void onBody(byte[] chunk);

  /** Learns that the answer is whole; it is the last call. */
  void onComplete();

  /** Learns that no whole answer will come; it is the last call. */
  void onFailure(boolean sent, ExchangeFailure failure);
}
