package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/** Daemons that ask each other to use the ledger, a millisecond apart. */
final class FakeLedgerPeers {

  private final Map<PeerAddress, Receiver> receivers = new HashMap<>();
  private boolean answersLost;

  private record Receiver(VirtualScheduler scheduler, LedgerEndpoint endpoint) {}

  void listen(PeerAddress address, VirtualScheduler scheduler, Claims local) {
    receivers.put(address, new Receiver(scheduler, new LedgerEndpoint(local)));
  }

  void loseAnswers(boolean lost) {
    answersLost = lost;
  }

  LedgerPeers clientOf(VirtualScheduler caller) {
    return (peer, question, timeout) -> ask(caller, peer, question, timeout);
  }

  private CompletionStage<LedgerReply> ask(
      VirtualScheduler caller, PeerAddress peer, byte[] question, Duration timeout) {
    CompletableFuture<LedgerReply> reply = new CompletableFuture<>();
    caller.schedule(
        () -> reply.complete(new LedgerReply.Silent()), timeout.toNanos(), TimeUnit.NANOSECONDS);
    Receiver receiver = receivers.get(peer);
    receiver
        .scheduler()
        .schedule(
            () ->
                receiver
                    .endpoint()
                    .onAsk(question)
                    .thenAccept(
                        answer -> {
                          if (!answersLost) {
                            caller.schedule(
                                () ->
                                    reply.complete(new LedgerReply.Answered(answer.orElseThrow())),
                                1,
                                TimeUnit.MILLISECONDS);
                          }
                        }),
            1,
            TimeUnit.MILLISECONDS);
    return reply;
  }
}
