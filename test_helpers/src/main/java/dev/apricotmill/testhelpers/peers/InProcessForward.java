package dev.apricotmill.testhelpers.peers;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.ForwardedRequest;
import java.util.Optional;
import java.util.concurrent.Flow;

/**
 * One forwarded request, as a connection between entry daemon and steward. A direction that lost a
 * message stays silent, and both sides give up after the network's silence limit.
 */
final class InProcessForward implements Flow.Subscription {

  private final InProcessNetwork network;
  private final InProcessPeers entry;
  private final PeerAddress stewardAddress;
  private final ForwardListener listener;
  private Optional<InProcessPeers> steward = Optional.empty();
  private Optional<Flow.Subscription> atSteward = Optional.empty();
  private boolean toStewardBroken;
  private boolean toEntryBroken;
  private boolean endedAtEntry;
  private boolean endedAtSteward;

  InProcessForward(
      InProcessNetwork network,
      InProcessPeers entry,
      PeerAddress stewardAddress,
      ForwardListener listener) {
    this.network = network;
    this.entry = entry;
    this.stewardAddress = stewardAddress;
    this.listener = listener;
  }

  void open(InProcessPeers receiver, ForwardedRequest request) {
    steward = Optional.of(receiver);
    sendToSteward(() -> accept(receiver, request));
  }

  private void accept(InProcessPeers receiver, ForwardedRequest request) {
    receiver
        .stewardEndpoint()
        .ifPresent(endpoint -> atSteward = Optional.of(endpoint.accept(request, stewardSide())));
  }

  /** Returns the listener that the steward calls. */
  private ForwardListener stewardSide() {
    return new ForwardListener() {
      @Override
      public void onChunk(TokenChunk chunk) {
        sendToEntry(() -> receive(chunk));
      }

      @Override
      public void onEnd(ForwardEnd end) {
        endedAtSteward = true;
        steward.ifPresent(peers -> peers.forget(InProcessForward.this));
        sendToEntry(() -> receive(end));
      }
    };
  }

  private void sendToSteward(Runnable message) {
    if (steward.isEmpty() || toStewardBroken) {
      return;
    }
    if (network.passes(entry.self(), stewardAddress)) {
      steward.get().timing().schedule(network.latency(), message);
    } else {
      toStewardBroken = true;
      giveUpAfterSilence();
    }
  }

  private void sendToEntry(Runnable message) {
    if (toEntryBroken) {
      return;
    }
    if (network.passes(stewardAddress, entry.self())) {
      entry.timing().schedule(network.latency(), message);
    } else {
      toEntryBroken = true;
      giveUpAfterSilence();
    }
  }

  private void giveUpAfterSilence() {
    entry.timing().schedule(network.silenceLimit(), () -> receive(new ForwardEnd.Lost()));
    steward.ifPresent(
        peers -> peers.timing().schedule(network.silenceLimit(), this::cancelAtSteward));
  }

  private void receive(TokenChunk chunk) {
    if (!endedAtEntry) {
      listener.onChunk(chunk);
    }
  }

  private void receive(ForwardEnd end) {
    if (!endedAtEntry) {
      endedAtEntry = true;
      entry.forget(this);
      listener.onEnd(end);
    }
  }

  void endAtEntry(ForwardEnd end) {
    entry.timing().schedule(network.latency(), () -> receive(end));
  }

  void onProcessDied(PeerAddress process) {
    if (process.equals(stewardAddress)) {
      endAtEntry(new ForwardEnd.Lost());
    } else if (process.equals(entry.self())) {
      steward.ifPresent(peers -> peers.timing().schedule(network.latency(), this::cancelAtSteward));
    }
  }

  private void cancelAtSteward() {
    if (endedAtSteward) {
      return;
    }
    endedAtSteward = true;
    steward.ifPresent(peers -> peers.forget(this));
    atSteward.ifPresent(Flow.Subscription::cancel);
  }

  @Override
  public void request(long chunks) {
    sendToSteward(() -> atSteward.ifPresent(subscription -> subscription.request(chunks)));
  }

  @Override
  public void cancel() {
    if (endedAtEntry) {
      return;
    }
    endedAtEntry = true;
    entry.forget(this);
    sendToSteward(this::cancelAtSteward);
  }
}
