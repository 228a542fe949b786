package dev.apricotmill.core.pool;

import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.OptionalDouble;

/** A change in the state of placed work. */
public sealed interface WorkReport {

  /** Returns the service whose pool the report is about. */
  ServiceName service();

  /** Applies the report to the scheduler of the pool. */
  void applyTo(PoolScheduler scheduler, long nowNanos);

  /**
   * The first event of a response has arrived.
   *
   * @param service the pool
   * @param request the identifier of the request
   */
  record FirstEvent(ServiceName service, RequestId request) implements WorkReport {
    @Override
    public void applyTo(PoolScheduler scheduler, long nowNanos) {
      scheduler.onFirstEvent(request, nowNanos);
    }
  }

  /**
   * A request no longer uses its engines.
   *
   * @param service the pool
   * @param request the identifier of the request
   * @param completed whether the response was written to its end
   */
  record Ended(ServiceName service, RequestId request, boolean completed) implements WorkReport {
    @Override
    public void applyTo(PoolScheduler scheduler, long nowNanos) {
      if (completed) {
        scheduler.onCompleted(request, nowNanos);
      }
      scheduler.onEnd(request, nowNanos);
    }
  }

  /**
   * An engine broke off a response before or soon after it began to write it.
   *
   * @param service the pool
   * @param server the engine
   * @param promptParts the parts of the prompt
   * @param age how long ago
   */
  record BrokenOff(ServiceName service, ReplicaId server, PromptParts promptParts, Duration age)
      implements WorkReport {
    @Override
    public void applyTo(PoolScheduler scheduler, long nowNanos) {
      scheduler.onBrokenOff(server, promptParts, nowNanos - age.toNanos());
    }
  }

  /**
   * Responses that were written on a part of prompts, for a new dispatcher.
   *
   * @param service the pool
   * @param part the part
   * @param weight the number of responses, in which earlier ones count less
   * @param age how long ago the last of them was written
   */
  record PartWritten(ServiceName service, String part, double weight, Duration age)
      implements WorkReport {
    @Override
    public void applyTo(PoolScheduler scheduler, long nowNanos) {
      scheduler.onWritten(part, weight, nowNanos - age.toNanos());
    }
  }

  /**
   * A part of prompts is known to crash engines. It changes no pool.
   *
   * @param service a pool
   * @param part the part
   */
  record PartBlocked(ServiceName service, String part) implements WorkReport {
    @Override
    public void applyTo(PoolScheduler scheduler, long nowNanos) {}
  }

  /**
   * A server has said that it is leaving. It changes no pool.
   *
   * @param service the server's service
   * @param server the server
   * @param startedMillis when the instance that said so was started, in milliseconds of the Unix
   *     epoch
   */
  record Leaving(ServiceName service, ReplicaId server, long startedMillis) implements WorkReport {
    @Override
    public void applyTo(PoolScheduler scheduler, long nowNanos) {}
  }

  /**
   * What a server has said of the requests that it takes from all nodes together. It changes no
   * pool.
   *
   * @param service the server's service
   * @param instance the server
   * @param requestsPerSecond its limit; empty if a response named none
   * @param age how long ago the response arrived that named the limit, or the request was sent
   *     whose response named none
   */
  record Limited(
      ServiceName service,
      LimitedServers.Instance instance,
      OptionalDouble requestsPerSecond,
      Duration age)
      implements WorkReport {
    @Override
    public void applyTo(PoolScheduler scheduler, long nowNanos) {}
  }

  /**
   * A server failed a request.
   *
   * @param service the pool
   * @param server the server
   * @param unreachable whether the server could not be reached; false if it refused the request or
   *     broke the connection
   */
  record Failed(ServiceName service, ReplicaId server, boolean unreachable) implements WorkReport {
    @Override
    public void applyTo(PoolScheduler scheduler, long nowNanos) {
      scheduler.onServerFailure(server, unreachable, nowNanos);
    }
  }

  /**
   * A request that another dispatcher placed is running.
   *
   * @param request the placement request
   * @param placement the engines that serve it
   * @param prefilling whether its first event is still outstanding
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
        scheduler.onFirstEvent(request.requestId(), nowNanos);
      }
    }
  }
}
