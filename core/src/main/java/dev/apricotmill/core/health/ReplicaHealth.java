package dev.apricotmill.core.health;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.routing.ReplicaView;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Ejects slow or failing replicas from routing, but never more than a third of the pool.
 *
 * <p>A replica is ejected after consecutive failures, for a time that doubles with each consecutive
 * ejection, or while its prefill rate is below half of the pool's median rate. Thread-safe.
 */
public final class ReplicaHealth {

  private static final int FAILURES_TO_EJECT = 3;
  private static final int MAXIMUM_DOUBLINGS = 6;
  private static final Duration FIRST_EJECTION = Duration.ofSeconds(1);
  private static final double SLOW_FRACTION_OF_MEDIAN = 0.5;

  /** At most 1 in this many replicas is ejected. */
  private static final int REPLICAS_PER_EJECTION = 3;

  private final ConcurrentHashMap<ReplicaId, FailureHistory> histories = new ConcurrentHashMap<>();

  /** Records a successful response of a replica. */
  public void onSuccess(ReplicaId replica) {
    histories.remove(replica);
  }

  /** Records a failure of a replica. */
  public void onFailure(ReplicaId replica, long nowNanos) {
    histories.compute(
        replica,
        (unused, history) -> (history == null ? FailureHistory.HEALTHY : history).failed(nowNanos));
  }

  /** Returns the views with the ejected replicas marked as not usable. */
  public ImmutableList<ReplicaView> apply(ImmutableList<ReplicaView> views, long nowNanos) {
    Set<ReplicaId> ejected = ejected(views, nowNanos);
    if (ejected.isEmpty()) {
      return views;
    }
    ImmutableList.Builder<ReplicaView> marked = ImmutableList.builder();
    for (ReplicaView view : views) {
      marked.add(ejected.contains(view.replica()) ? unusable(view) : view);
    }
    return marked.build();
  }

  /** Drops the state of replicas that are not in {@code configured}. */
  public void retain(Set<ReplicaId> configured) {
    histories.keySet().retainAll(configured);
  }

  private Set<ReplicaId> ejected(ImmutableList<ReplicaView> views, long nowNanos) {
    double slowRate = SLOW_FRACTION_OF_MEDIAN * medianRate(views);
    List<ReplicaView> failing = new ArrayList<>();
    List<ReplicaView> slow = new ArrayList<>();
    for (ReplicaView view : views) {
      FailureHistory history = histories.get(view.replica());
      double rate = view.load().prefillTokensPerSecond();
      if (history != null && history.isEjected(nowNanos)) {
        failing.add(view);
      } else if (rate > 0 && rate < slowRate) {
        slow.add(view);
      }
    }
    slow.sort(Comparator.comparingDouble(view -> view.load().prefillTokensPerSecond()));
    Set<ReplicaId> ejected = new HashSet<>();
    int maximumEjections = views.size() / REPLICAS_PER_EJECTION;
    for (List<ReplicaView> group : ImmutableList.of(failing, slow)) {
      for (ReplicaView view : group) {
        if (ejected.size() < maximumEjections) {
          ejected.add(view.replica());
        }
      }
    }
    return ejected;
  }

  private static double medianRate(ImmutableList<ReplicaView> views) {
    double[] rates =
        views.stream()
            .mapToDouble(view -> view.load().prefillTokensPerSecond())
            .filter(rate -> rate > 0)
            .sorted()
            .toArray();
    return rates.length == 0 ? 0 : rates[rates.length / 2];
  }

  private static ReplicaView unusable(ReplicaView view) {
    return new ReplicaView(
        view.replica(), view.zone(), view.steward(), view.load(), view.loadAtNanos(), false);
  }

  /** Consecutive failures and ejections, and the end of the last ejection. */
  private record FailureHistory(int failures, int ejections, long ejectedUntilNanos) {

    static final FailureHistory HEALTHY = new FailureHistory(0, 0, 0);

    FailureHistory failed(long nowNanos) {
      if (failures + 1 < FAILURES_TO_EJECT && ejections == 0) {
        return new FailureHistory(failures + 1, ejections, ejectedUntilNanos);
      }
      long nanos = FIRST_EJECTION.toNanos() << Math.min(ejections, MAXIMUM_DOUBLINGS);
      return new FailureHistory(0, ejections + 1, nowNanos + nanos);
    }

    boolean isEjected(long nowNanos) {
      return ejections > 0 && nowNanos - ejectedUntilNanos < 0;
    }
  }
}
