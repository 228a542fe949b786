package dev.apricotmill.coordination.testing;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** One call in the log of {@link FakePlatform}. */
public final class PlatformCall {

  private final PlatformRequest request;
  private final long startNanos;
  private final @Nullable PlatformFault fault;
  private long effectNanos = -1;
  private long responseNanos = -1;
  private @Nullable Object outcome;

  PlatformCall(PlatformRequest request, long startNanos, @Nullable PlatformFault fault) {
    this.request = request;
    this.startNanos = startNanos;
    this.fault = fault;
  }

  /** Returns what was called, and by which process. */
  public PlatformRequest request() {
    return request;
  }

  /** Returns the virtual time at which the call was made. */
  public long startNanos() {
    return startNanos;
  }

  /** Returns the virtual time at which the call reached the store, -1 if it did not. */
  public long effectNanos() {
    return effectNanos;
  }

  /** Returns the virtual time at which the caller's stage completed, -1 if it did not. */
  public long responseNanos() {
    return responseNanos;
  }

  /** Returns the injected fault, empty if there was none. */
  public Optional<PlatformFault> fault() {
    return Optional.ofNullable(fault);
  }

  /** Returns the result that the caller got, empty if it got none. */
  public Optional<Object> outcome() {
    return Optional.ofNullable(outcome);
  }

  void recordEffect(long nanos) {
    effectNanos = nanos;
  }

  void recordResponse(long nanos, Object result) {
    responseNanos = nanos;
    outcome = result;
  }

  @Override
  public String toString() {
    return startNanos + " " + request + " " + fault + " -> " + outcome;
  }
}
