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

/** The port to backend servers. */
public interface BackendClient {

  /** Sends a request once. Everything is reported to {@code listener}, on any thread. */
  Exchange send(BackendRequest request, Listener listener);

  /**
   * Reserves memory at a server for a time that runs from its arrival there, or prolongs it.
   *
   * @param callback takes the result, on any thread
   */
  void reserve(
      BackendServer server,
      String reservation,
      long tokens,
      Duration duration,
      Consumer<ReserveResult> callback);

  /** Gives reserved memory back. */
  void release(BackendServer server, String reservation);

  /** What became of a reservation. */
  enum ReserveResult {
    /** The memory is reserved. */
    RESERVED,
    /** The server refused; nothing is reserved. */
    REFUSED,
    /** No answer came; the memory may be reserved, or may be so later. */
    UNKNOWN
  }

  /**
   * A request on its way to one server.
   *
   * @param request the request
   * @param server the server, which must refuse if it is not the one that is meant
   * @param customer the customer whose key the request has
   * @param remaining the time that is left
   * @param helpers servers that read parts of the prompt
   * @param resumeAfter the last event that is already there of a stream to be continued
   */
  record BackendRequest(
      RelayRequest request,
      BackendServer server,
      Optional<CustomerId> customer,
      Duration remaining,
      ImmutableList<Helper> helpers,
      OptionalLong resumeAfter) {}

  /**
   * A server that reads a part of a prompt.
   *
   * @param address where it listens
   * @param reservation names memory that is reserved there for the part
   */
  record Helper(PeerAddress address, Optional<String> reservation) {}

  /** A send that has not ended. */
  interface Exchange {
    /** Closes the connection; nothing is reported any more. */
    void cancel();

    /** Reads no more of the answer than a window, until {@link #resumeReading}. */
    void pauseReading();

    /** Reads on after {@link #pauseReading}. */
    void resumeReading();
  }

  /**
   * The head of an answer to this request.
   *
   * @param status the HTTP status
   * @param headers the headers to pass on
   * @param notRun whether the server says that it did not run the request
   * @param faultyServer the server that a refusal blames, by its identifier or its address; empty
   *     if it blames none
   */
  record Head(
      int status,
      ImmutableMap<String, String> headers,
      boolean notRun,
      Optional<String> faultyServer) {}

  /**
   * Learns of the answer. A head may follow nothing, bodies follow the head, one end comes last.
   */
  interface Listener {
    /** Takes the head of the answer. */
    void onHead(Head head);

    /** Takes a piece of the body. */
    void onBody(byte[] chunk);

    /** Learns that the answer is whole. */
    void onEnd();

    /**
     * Learns that no whole answer will come.
     *
     * @param maybeSent whether a byte of the request may have left
     * @param reason why, for the log
     */
    void onFailure(boolean maybeSent, String reason);
  }
}
