package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.relay.RelayRefusal;
import java.time.Duration;

/** Takes the one answer to a request. */
public interface CallerConnection {

  /** Refuses the request; {@code comeBack} counts only where a repeat may succeed. */
  void refuse(RelayRefusal refusal, Duration retryAfter);

  /** Sends a whole answer. */
  void respond(int status, ImmutableMap<String, String> headers, byte[] body);

  /** Begins a streamed answer. */
  void beginStream(int status, ImmutableMap<String, String> headers);

  /** Sends a piece of a streamed answer. */
  void write(byte[] chunk);

  /** Ends a streamed answer that is whole. */
  void endStream();

  /** Breaks the connection, so that the answer is seen to be incomplete. */
  void abort();

  /** Names who learns of the caller's reading and going, on any thread. */
  void setListener(Listener listener);

  /** Learns what becomes of an answer. */
  interface Listener {
    /** Learns that the connection took that many pieces of a streamed answer. */
    void onChunksWritten(int count);

    /** Learns that the caller has gone before its answer ended. */
    void onDisconnected();
  }
}
