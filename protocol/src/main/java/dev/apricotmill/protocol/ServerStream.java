package dev.apricotmill.protocol;

import dev.apricotmill.protocol.generated.ResetReason;
import dev.apricotmill.protocol.generated.Response;

/** The server side of a stream. Thread-safe. */
public interface ServerStream {

  /** Sends a response other than the final one; the client must have granted credit for it. */
  void send(Response response);

  /** Sends the final response and ends the stream. */
  void finish(Response response);

  /** Ends the stream and tells the client that its request was not acted on. */
  void refuse(ResetReason reason);
}
