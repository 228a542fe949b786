package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.relay.RelayRefusal;
import java.time.Duration;

/** Takes the one answer to a request. */
public interface RelayCaller {

  /** Refuses the request; {@code comeBack} counts only where a repeat may succeed. */
  void refuse(RelayRefusal refusal, Duration comeBack);

  /** Sends a whole answer. */
  void answer(int status, ImmutableMap<String, String> headers, byte[] body);

  /** Begins a streamed answer. */
  void begin(int status, ImmutableMap<String, String> headers);

  /** Sends a piece of a streamed answer. */
  void write(byte[] piece);

  /** Ends a streamed answer that is whole. */
  void end();

  /** Breaks the connection, so that the answer is seen to be incomplete. */
  void abort();

  /** Runs {@code task} when the caller has gone before its answer ended. */
  void whenGone(Runnable task);
}
