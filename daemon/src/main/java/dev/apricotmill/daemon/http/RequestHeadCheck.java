package dev.apricotmill.daemon.http;

import com.google.common.base.CharMatcher;
import java.util.Optional;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.jspecify.annotations.Nullable;

/** Checks the head of a request before its body is read. */
final class RequestHeadCheck {

  /** Bytes of the colon, space and CRLF of a header line. */
  private static final int HEADER_OVERHEAD_BYTES = 4;

  private RequestHeadCheck() {}

  static Optional<EarlyRefusal> check(
      HttpRequest head, @Nullable EntityDetails entity, ServerLimits limits) {
    if (head instanceof UnparsableRequest unparsable) {
      return Optional.of(unparsable.refusal());
    }
    if (sizeOf(head) > limits.maximumHeaderBytes()) {
      return Optional.of(EarlyRefusal.HEADER_TOO_LARGE);
    }
    // No target may have these characters, and the library would send others in their place.
    if (CharMatcher.javaIsoControl().matchesAnyOf(head.getPath())) {
      return Optional.of(EarlyRefusal.NOT_HTTP);
    }
    if (entity != null && entity.getContentLength() > limits.maximumBodyBytes()) {
      return Optional.of(EarlyRefusal.BODY_TOO_LARGE);
    }
    return Optional.empty();
  }

  /** Returns the memory that a request takes without its body. */
  static long memoryOf(HttpRequest head) {
    return CallerMemory.EXCHANGE_BYTES + CallerMemory.MEMORY_PER_HEAD_BYTE * sizeOf(head);
  }

  private static long sizeOf(HttpRequest head) {
    long bytes = (long) head.getMethod().length() + head.getPath().length();
    for (Header header : head.getHeaders()) {
      int valueLength = header.getValue() == null ? 0 : header.getValue().length();
      bytes += header.getName().length() + valueLength + HEADER_OVERHEAD_BYTES;
    }
    return bytes;
  }
}
