package dev.apricotmill.daemon.http;

/** Handles requests, synchronously or asynchronously. */
public interface RequestHandler {

  /** Handles a completely received request; called on a worker thread. */
  void handle(IncomingRequest request, ResponseSender sender);

  /** Returns the response to a request that the server refuses; by default its detail as text. */
  default CompleteResponse refuse(EarlyRefusal refusal) {
    return CompleteResponse.text(refusal.status(), "text/plain", refusal.detail());
  }
}
