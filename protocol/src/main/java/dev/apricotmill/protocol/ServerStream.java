package dev.apricotmill.protocol;

import dev.apricotmill.protocol.generated.ResetReason;
import dev.apricotmill.protocol.generated.Response;

/** The answering side of a stream. Safe for use by several threads. */
public interface ServerStream {

  /** Sends a response that others follow; it must have been allowed by the asking side. */
  void send(Response response);

  /** Sends the final response and ends the stream. */
  void finish(Response response);

  /** Ends the stream and tells the asking side that nothing was done. */
  void refuse(ResetReason reason);
}
