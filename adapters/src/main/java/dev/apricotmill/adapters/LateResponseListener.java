package dev.apricotmill.adapters;

/** Receives notice of each response that was skipped, on an I/O thread. */
@FunctionalInterface
public interface LateResponseListener {

  /** A listener that ignores all notices. */
  LateResponseListener NONE = (id, status) -> {};

  /**
   * Called when a response was skipped because the exchange that it belongs to has ended.
   *
   * @param id the identifier of that exchange
   * @param status the status of the response
   */
  void onLateResponse(String id, int status);
}
