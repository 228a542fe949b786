package dev.apricotmill.core.pool;

import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;

/** What became of placed work. */
public sealed interface WorkReport {

  /** Returns the pool. */
  ServiceName service();

  /** Notes the report in the ledger of the pool. */
  void applyTo(PoolScheduler scheduler, long nowNanos);

  /**
   * The first event of an answer has come.
   *
   * @param service the pool
   * @param request the request
   */
  record FirstEvent(ServiceName service, RequestId request) implements WorkReport {
    @Override
    public void applyTo(PoolScheduler scheduler, long nowNanos) {
      scheduler.onFirstEvent(request, nowNanos);
    }
  }

  /**
   * A request uses its engines no more.
   *
   * @param service the pool
   * @param request the request
   */
  record Ended(ServiceName service, RequestId request) implements WorkReport {
    @Override
    public void applyTo(PoolScheduler scheduler, long nowNanos) {
      scheduler.onEnd(request, nowNanos);
    }
  }

  /**
   * A server failed a request.
   *
   * @param service the pool
   * @param server the server
   * @param unreachable whether the server could not be reached, rather than refused or broke off
   */
  record Failed(ServiceName service, ReplicaId server, boolean unreachable) implements WorkReport {
    @Override
    public void applyTo(PoolScheduler scheduler, long nowNanos) {
      scheduler.onServerFailure(server, unreachable, nowNanos);
    }
  }

  /**
   * Work runs that another dispatcher placed.
   *
   * @param request what was asked for
   * @param placement where it runs
   * @param prefilling whether its first event has not come yet
   */
  record Running(PlacementRequest request, Placement.Granted placement, boolean prefilling)
      implements WorkReport {
    @Override
    public ServiceName service() {
      return request.service();
    }

    @Override
    public void applyTo(PoolScheduler scheduler, long nowNanos) {
      scheduler.recordPlacement(request, placement, nowNanos);
      if (!prefilling) {
        scheduler.onFirstEvent(request.request(), nowNanos);
      }
    }
  }
}
