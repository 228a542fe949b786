package dev.apricotmill.protocol;

import dev.apricotmill.protocol.generated.Response;

/**
 * Receives the responses on a stream. Calls do not overlap. Unless the stream is cancelled, the
 * last call is exactly one of {@link #onEnd} and {@link #onLoss}.
 */
public interface ResponseListener {

  /** Called when a part of a response arrived that does not complete it. */
  default void onPart(int bytes) {}

  /** Handles a response other than the final one. */
  void onResponse(Response response);

  /** Handles the final response. */
  void onEnd(Response response);

  /** Called when the stream ended without a final response. */
  void onLoss(StreamLoss loss);
}
