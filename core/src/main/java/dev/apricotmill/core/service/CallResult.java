package dev.apricotmill.core.service;

import com.google.common.collect.ImmutableMap;
import java.util.Arrays;

/** The result of a call to a plain service. */
public sealed interface CallResult {

  /**
   * The service responded.
   *
   * @param status the HTTP status
   * @param headers the headers to forward, with lower-case names
   * @param body the body; must not be modified
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Response(int status, ImmutableMap<String, String> headers, byte[] body)
      implements CallResult {

    @Override
    public boolean equals(Object other) {
      return other instanceof Response that
          && status == that.status
          && headers.equals(that.headers)
          && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
      return 31 * status + Arrays.hashCode(body);
    }
  }

  /** No byte of the call was sent, because no connection could be made. */
  record NotSent() implements CallResult {}

  /** The call may have reached the service, but no complete response arrived. */
  record Lost() implements CallResult {}
}
