package dev.apricotmill.testhelpers.peers;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The network between simulated daemons on one virtual timeline: delays, cuts of single directions,
 * lost messages and dead processes.
 *
 * <p>Not safe for use by several threads.
 */
public final class InProcessNetwork {

  private static final Duration DEFAULT_LATENCY = Duration.ofMillis(1);
  private static final Duration DEFAULT_SILENCE_LIMIT = Duration.ofSeconds(3);

  /** One direction between two processes. */
  private record Way(PeerAddress from, PeerAddress to) {}

  private final Map<PeerAddress, InProcessPeers> processes = new HashMap<>();
  private final Set<Way> cuts = new HashSet<>();
  private final Map<Way, Integer> losses = new HashMap<>();
  private Duration latency = DEFAULT_LATENCY;
  private Duration silenceLimit = DEFAULT_SILENCE_LIMIT;

  /** Adds a process, or replaces the dead one at the same address. */
  public InProcessPeers join(PeerAddress self, Timing timing) {
    InProcessPeers peers = new InProcessPeers(this, self, timing);
    processes.put(self, peers);
    return peers;
  }

  /** Removes a process: its connections break at once, and new ones are refused. */
  public void kill(PeerAddress process) {
    processes.remove(process);
    processes.values().forEach(peers -> peers.onProcessDied(process));
  }

  /** Lets messages from one process to another vanish until {@link #heal}. */
  public void cut(PeerAddress from, PeerAddress to) {
    cuts.add(new Way(from, to));
  }

  /** Lets messages between two processes vanish in both directions. */
  public void cutBoth(PeerAddress one, PeerAddress other) {
    cut(one, other);
    cut(other, one);
  }

  /** Lets messages between two processes arrive again. */
  public void heal(PeerAddress one, PeerAddress other) {
    cuts.remove(new Way(one, other));
    cuts.remove(new Way(other, one));
  }

  /** Lets the next messages from one process to another vanish, answers included. */
  public void loseNext(PeerAddress from, PeerAddress to, int messages) {
    losses.put(new Way(from, to), messages);
  }

  /** Sets the time of a message in one direction. */
  public void setLatency(Duration newLatency) {
    latency = newLatency;
  }

  /** Sets after which silence a broken stream is given up. */
  public void setSilenceLimit(Duration newSilenceLimit) {
    silenceLimit = newSilenceLimit;
  }

  Duration latency() {
    return latency;
  }

  Duration silenceLimit() {
    return silenceLimit;
  }

  Optional<InProcessPeers> process(PeerAddress address) {
    return Optional.ofNullable(processes.get(address));
  }

  /** Decides whether a message that is sent now arrives. */
  boolean passes(PeerAddress from, PeerAddress to) {
    Way way = new Way(from, to);
    int left = losses.getOrDefault(way, 0);
    if (left > 0) {
      losses.put(way, left - 1);
      return false;
    }
    return !cuts.contains(way);
  }
}
