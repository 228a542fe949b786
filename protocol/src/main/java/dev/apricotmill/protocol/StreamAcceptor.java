package dev.apricotmill.protocol;

import dev.apricotmill.protocol.generated.Request;

/** Accepts requests from peers. Called on the transport's event loops, so it must not block. */
public interface StreamAcceptor {

  /** Accepts a request; the responses go to {@code stream}, during this call or later. */
  StreamHandler accept(Request request, ServerStream stream);
}
