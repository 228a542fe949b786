package dev.apricotmill.coordination.testing;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** All calls to {@link FakePlatform} in order of time, including those that did not reach it. */
public final class PlatformCallLog {

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final List<PlatformCall> calls = new ArrayList<>();

  void add(PlatformCall call) {
    calls.add(call);
  }

  /** Returns all calls so far. */
  public ImmutableList<PlatformCall> calls() {
    return ImmutableList.copyOf(calls);
  }

  /** Returns how many calls match. */
  public long count(Predicate<PlatformRequest> matching) {
    return calls.stream().filter(call -> matching.test(call.request())).count();
  }

  /** Returns how many calls match and were made at or after {@code fromNanos}. */
  public long countSince(long fromNanos, Predicate<PlatformRequest> matching) {
    return calls.stream()
        .filter(call -> call.startNanos() >= fromNanos && matching.test(call.request()))
        .count();
  }

  /** Returns the largest number of writes made within any one second. */
  public int peakWritesPerSecond() {
    return peakPerSecond(request -> request.operation().isWrite());
  }

  /** Returns the largest number of reads and watches made within any one second. */
  public int peakReadsPerSecond() {
    return peakPerSecond(request -> !request.operation().isWrite());
  }

  /** Returns the largest number of matching calls made within any one second. */
  public int peakPerSecond(Predicate<PlatformRequest> matching) {
    Deque<Long> recentStarts = new ArrayDeque<>();
    int peak = 0;
    for (PlatformCall call : calls) {
      if (matching.test(call.request())) {
        recentStarts.addLast(call.startNanos());
        while (recentStarts.getFirst() <= call.startNanos() - SECOND_NANOS) {
          recentStarts.removeFirst();
        }
        peak = Math.max(peak, recentStarts.size());
      }
    }
    return peak;
  }
}
