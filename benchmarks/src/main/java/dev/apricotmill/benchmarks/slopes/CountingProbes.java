package dev.apricotmill.benchmarks.slopes;

import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.PeerProbes;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbeResult;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/** Counts the probes and fetches of a daemon and the bytes that they and their answers take. */
final class CountingProbes implements PeerProbes {

  private static final int FETCH_BYTES = 128;

  private final PeerProbes peers;
  private long messages;
  private long bytes;

  CountingProbes(PeerProbes peers) {
    this.peers = peers;
  }

  long messages() {
    return messages;
  }

  long bytes() {
    return bytes;
  }

  void reset() {
    messages = 0;
    bytes = 0;
  }

  @Override
  public CompletionStage<ProbeResult> probe(
      PeerAddress peer, ProbeMessage message, Duration timeout) {
    sent(message);
    return peers.probe(peer, message, timeout).thenApply(this::received);
  }

  @Override
  public CompletionStage<ProbeResult> probeThrough(
      PeerAddress peer, Member target, ProbeMessage message, Duration timeout) {
    sent(message);
    return peers.probeThrough(peer, target, message, timeout).thenApply(this::received);
  }

  @Override
  public CompletionStage<FetchResult> fetch(PeerAddress peer, String partName, Duration timeout) {
    messages++;
    bytes += FETCH_BYTES;
    return peers.fetch(peer, partName, timeout).thenApply(this::received);
  }

  private void sent(ProbeMessage message) {
    messages++;
    bytes += ProbeBytes.of(message);
  }

  private ProbeResult received(ProbeResult result) {
    if (result instanceof ProbeResult.Answered answered) {
      bytes += ProbeBytes.of(answered.reply());
    }
    return result;
  }

  private FetchResult received(FetchResult result) {
    if (result instanceof FetchResult.Fetched fetched) {
      bytes += fetched.value().length;
    }
    return result;
  }
}
