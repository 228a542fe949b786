package dev.apricotmill.protocol;

import dev.apricotmill.protocol.generated.Request;

/** Takes the requests that peers send; called on the transport's threads, so it must not block. */
public interface StreamAcceptor {

  /** Takes a request and answers it on {@code stream}, now or later. */
  StreamHandler accept(Request request, ServerStream stream);
}
