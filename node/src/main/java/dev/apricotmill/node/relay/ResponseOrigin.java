package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.RequestId;
import java.util.Optional;

/**
 * What the head of a response says about where the response comes from.
 *
 * @param status the HTTP status
 * @param responseTo the request that the response names; empty if it names none
 * @param signatures the value of each signature that the head has
 * @param contentEncodings the value of each header that names an encoding of the body
 */
public record ResponseOrigin(
    int status,
    Optional<String> responseTo,
    ImmutableList<String> signatures,
    ImmutableList<String> contentEncodings) {

  private static final int SUCCESS_CLASS = 2;

  /**
   * Returns why the response cannot be used for a request, which may have run all the same; empty
   * if it can be used.
   *
   * <p>Only a success needs a signature, and a body that is not encoded: anything else promises the
   * caller nothing.
   */
  public Optional<BackendFailure> failureFor(RequestId request) {
    if (!responseTo.equals(Optional.of(request.value()))) {
      return Optional.of(BackendFailure.MISMATCHED);
    }
    if (status / 100 != SUCCESS_CLASS) {
      return Optional.empty();
    }
    if (!contentEncodings.isEmpty()) {
      return Optional.of(BackendFailure.ENCODED);
    }
    boolean isSigned = signatures.size() == 1 && !signatures.get(0).isBlank();
    return isSigned ? Optional.empty() : Optional.of(BackendFailure.UNSIGNED);
  }
}
