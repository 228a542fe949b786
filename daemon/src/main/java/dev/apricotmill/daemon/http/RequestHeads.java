package dev.apricotmill.daemon.http;

import java.util.Optional;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.jspecify.annotations.Nullable;

/** Checks the head of a request before its body is read. */
final class RequestHeads {

  private static final int SEPARATOR_BYTES = 4;

  private RequestHeads() {}

  static Optional<EdgeFault> check(
      HttpRequest head, @Nullable EntityDetails entity, ServerLimits limits) {
    if (head instanceof FaultyRequest faulty) {
      return Optional.of(faulty.fault());
    }
    if (sizeOf(head) > limits.maximumHeaderBytes()) {
      return Optional.of(EdgeFault.HEADER_TOO_LARGE);
    }
    if (entity != null && entity.getContentLength() > limits.maximumBodyBytes()) {
      return Optional.of(EdgeFault.BODY_TOO_LARGE);
    }
    return Optional.empty();
  }

  private static long sizeOf(HttpRequest head) {
    long bytes = (long) head.getMethod().length() + head.getPath().length();
    for (Header header : head.getHeaders()) {
      int valueLength = header.getValue() == null ? 0 : header.getValue().length();
      bytes += header.getName().length() + valueLength + SEPARATOR_BYTES;
    }
    return bytes;
  }
}
