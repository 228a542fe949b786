package dev.apricotmill.daemon.http;

/** Answers requests, now or later; called on a worker thread. */
public interface RequestHandler {

  /** Takes a request that was read whole. */
  void handle(IncomingRequest request, ResponseSender sender);

  /** Returns the answer to a request that broke a limit or the protocol. */
  CompleteResponse refuse(EarlyRefusal refusal);
}
