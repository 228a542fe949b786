package dev.apricotmill.daemon.http;

/** Handles requests, synchronously or asynchronously. */
public interface RequestHandler {

  /** Handles a completely received request; called on a worker thread. */
  void handle(IncomingRequest request, ResponseSender sender);

  /** Returns the response to a request that the server refuses. */
  CompleteResponse refuse(EarlyRefusal refusal);
}
