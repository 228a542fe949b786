package dev.apricotmill.adapters;

import org.apache.hc.core5.http.HttpResponse;

/** Receives a response in chunks, on an I/O thread. */
public interface StreamedResponseListener {

  /**
   * Handles the status and headers.
   *
   * @return whether the response is accepted; if not, the connection is closed and no other method
   *     is called
   */
  boolean onHead(HttpResponse head);

  /** Handles a chunk of the body. */
  void onBody(byte[] chunk);

  /** Called as the last method when the response is complete. */
  void onComplete();

  /**
   * Called as the last method when the exchange failed. {@code sent} is whether the request may
   * have been sent.
   */
  void onFailure(boolean sent, ExchangeFailure failure);
}
