package dev.apricotmill.core.service;

import com.google.common.collect.ImmutableMap;
import java.util.Arrays;

/** What became of a call of a plain service. */
public sealed interface CallResult {

  /**
   * The service answered.
   *
   * @param status the HTTP status
   * @param headers the headers that are passed on, with lower-case names
   * @param body the body; not to be modified
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

  /** No byte of the call left: no connection could be made. */
  record NotSent() implements CallResult {}

  /** The call may have reached the service and no whole answer came. */
  record Lost() implements CallResult {}
}
