package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/** Connects the ledgers of daemons in one process, with a latency of 1 ms in each direction. */
final class FakeLedgerPeers {

  private final Map<PeerAddress, Receiver> receivers = new HashMap<>();
  private boolean responsesDropped;

  private record Receiver(VirtualScheduler scheduler, LedgerEndpoint endpoint) {}

  void register(PeerAddress address, VirtualScheduler scheduler, Claims local) {
    receivers.put(address, new Receiver(scheduler, new LedgerEndpoint(local)));
  }

  void dropResponses(boolean drop) {
    responsesDropped = drop;
  }

  LedgerPeers clientOf(VirtualScheduler caller) {
    return (peer, request, timeout) -> send(caller, peer, request, timeout);
  }

  private CompletionStage<LedgerCallResult> send(
      VirtualScheduler caller, PeerAddress peer, byte[] request, Duration timeout) {
    CompletableFuture<LedgerCallResult> result = new CompletableFuture<>();
    caller.schedule(
        () -> result.complete(new LedgerCallResult.NoAnswer()),
        timeout.toNanos(),
        TimeUnit.NANOSECONDS);
    Receiver receiver = receivers.get(peer);
    receiver
        .scheduler()
        .schedule(
            () ->
                receiver
                    .endpoint()
                    .onRequest(request)
                    .thenAccept(
                        response -> {
                          if (!responsesDropped) {
                            caller.schedule(
                                () ->
                                    result.complete(
                                        new LedgerCallResult.Answered(response.orElseThrow())),
                                1,
                                TimeUnit.MILLISECONDS);
                          }
                        }),
            1,
            TimeUnit.MILLISECONDS);
    return result;
  }
}
