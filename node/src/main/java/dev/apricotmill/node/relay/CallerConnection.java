package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.relay.RelayRefusal;
import java.time.Duration;

/** Sends the response to one request to its caller. */
public interface CallerConnection {

  /** Refuses the request; {@code retryAfter} is used only if a later retry may succeed. */
  void refuse(RelayRefusal refusal, Duration retryAfter);

  /** Sends a complete response. */
  void respond(int status, ImmutableMap<String, String> headers, byte[] body);

  /** Begins a streamed response. */
  void beginStream(int status, ImmutableMap<String, String> headers);

  /** Sends a chunk of a streamed response. */
  void write(byte[] chunk);

  /** Ends a complete streamed response. */
  void endStream();

  /** Aborts the connection, so that the caller sees that the response is incomplete. */
  void abort();

  /** Sets the listener, which is called on any thread. */
  void setListener(ConnectionListener listener);

  /** Receives the events of the caller's connection. */
  interface ConnectionListener {
    /** Called when the connection has taken {@code count} more chunks of a streamed response. */
    void onChunksWritten(int count);

    /** Called when the caller has disconnected before the end of its response. */
    void onDisconnected();
  }
}
