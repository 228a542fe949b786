package dev.apricotmill.testhelpers.http;

/** Serves the requests of one stand-in. */
public interface StandInHandler {

  /** Serves one request, now or later. */
  void handle(StandInRequest request, StandInReply reply);
}
