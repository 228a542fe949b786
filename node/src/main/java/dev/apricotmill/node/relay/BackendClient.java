package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.CustomerId;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Sends requests to backend servers and reserves memory on them. */
public interface BackendClient {

  /** Sends a request once. The outcome is reported to {@code listener}, on any thread. */
  Exchange send(BackendRequest request, ResponseListener listener);

  /**
   * Reserves memory on a server, or renews the reservation of that name.
   *
   * @param duration how long the reservation lasts, from the arrival of the call at the server
   * @param callback receives the result, on any thread
   */
  void reserve(
      BackendServer server,
      String reservation,
      long tokens,
      Duration duration,
      Consumer<ReserveResult> callback);

  /** Releases a reservation. */
  void release(BackendServer server, String reservation);

  /** The outcome of a reservation. */
  enum ReserveResult {
    /** The memory is reserved. */
    RESERVED,
    /** The server refused; nothing is reserved. */
    REFUSED,
    /** No response came; the memory may be reserved, or may still be reserved later. */
    UNKNOWN
  }

  /**
   * A request to one server.
   *
   * @param request the caller's request
   * @param server the target; any other server that receives the request must refuse it
   * @param customer the customer whose key the request has
   * @param remaining the time until the deadline
   * @param helpers servers that prefill shares of the prompt
   * @param resumeAfterEvent the last event received so far, if a stream is to be resumed
   */
  record BackendRequest(
      RelayRequest request,
      BackendServer server,
      Optional<CustomerId> customer,
      Duration remaining,
      ImmutableList<Helper> helpers,
      OptionalLong resumeAfterEvent) {}

  /**
   * A server that prefills a share of a prompt.
   *
   * @param address where it listens
   * @param reservation the name of the memory reserved there for its share
   */
  record Helper(PeerAddress address, Optional<String> reservation) {}

  /** A request in flight. */
  interface Exchange {
    /** Closes the connection; the listener is not called any more. */
    void cancel();

    /** Stops reading the response after at most one flow-control window. */
    void pauseReading();

    /** Continues reading after {@link #pauseReading}. */
    void resumeReading();
  }

  /**
   * The status and headers of a response.
   *
   * @param status the HTTP status
   * @param headers the headers to pass on
   * @param notRun whether the server states that it did not run the request
   * @param faultyServer the identifier or address of the server that a refusal names as its cause;
   *     empty if it names none
   */
  record Head(
      int status,
      ImmutableMap<String, String> headers,
      boolean notRun,
      Optional<String> faultyServer) {}

  /**
   * Receives the response: the head first, then chunks of the body. The last call, which may also
   * be the first, is {@link #onEnd} or {@link #onFailure}.
   */
  interface ResponseListener {
    /** Called with the status and headers. */
    void onHead(Head head);

    /** Called with each chunk of the body. */
    void onBody(byte[] chunk);

    /** Called when the response is complete. */
    void onEnd();

    /**
     * Called when no complete response will come.
     *
     * @param maybeSent whether a byte of the request may have been sent
     * @param failure the cause
     */
    void onFailure(boolean maybeSent, BackendFailure failure);
  }
}
