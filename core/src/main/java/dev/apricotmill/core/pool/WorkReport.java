package dev.apricotmill.core.pool;

import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;

/** What became of placed work. */
public sealed interface WorkReport {

  /** Returns the pool. */
  ServiceName service();

  /** Notes the report in the ledger of the pool. */
  void noteIn(PoolLedger ledger, long nowNanos);

  /**
   * The first event of an answer has come.
   *
   * @param service the pool
   * @param request the request
   */
  record FirstEvent(ServiceName service, RequestId request) implements WorkReport {
    @Override
    public void noteIn(PoolLedger ledger, long nowNanos) {
      ledger.firstEvent(request, nowNanos);
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
    public void noteIn(PoolLedger ledger, long nowNanos) {
      ledger.ended(request, nowNanos);
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
    public void noteIn(PoolLedger ledger, long nowNanos) {
      ledger.failed(server, unreachable, nowNanos);
    }
  }

  /**
   * Work runs that another dispatcher placed.
   *
   * @param ask what was asked for
   * @param granted where it runs
   * @param reading whether its first event has not come yet
   */
  record Running(PlacementAsk ask, Placement.Granted granted, boolean reading)
      implements WorkReport {
    @Override
    public ServiceName service() {
      return ask.service();
    }

    @Override
    public void noteIn(PoolLedger ledger, long nowNanos) {
      ledger.note(ask, granted, nowNanos);
      if (!reading) {
        ledger.firstEvent(ask.request(), nowNanos);
      }
    }
  }
}
