package dev.apricotmill.protocol;

import dev.apricotmill.protocol.generated.Response;

/**
 * Receives the responses on a stream, one call after another. Exactly one of {@link #onEnd} and
 * {@link #onLoss} comes, as the last call, unless the stream was cancelled.
 */
public interface ResponseListener {

  /** Takes a response that others follow. */
  void onResponse(Response response);

  /** Takes the final response. */
  void onEnd(Response response);

  /** Learns that no final response will come. */
  void onLoss(StreamLoss loss);
}
