package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.prompt.PromptParts;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The parts of prompts that crash engines, as this node knows them. A prompt with such a part is
 * sent to no engine. Runs on the relay's executor.
 */
public final class BlockedParts {

  /** How long a part stays blocked after a node has learnt of it. */
  private static final Duration BLOCK_DURATION = Duration.ofMinutes(10);

  private final Timing timing;
  private final EventLog log;
  private final Map<String, Long> untilNanos = new LinkedHashMap<>();
  private final List<BlockListener> listeners = new ArrayList<>();

  /** Creates an empty set. */
  public BlockedParts(Timing timing, EventLog log) {
    this.timing = timing;
    this.log = log;
  }

  /** How a node has learnt that a part crashes engines. */
  public enum Source {
    /** From the engines that ended under it. */
    CRASHES,
    /** From the dispatcher of a pool, which refused a prompt. */
    DISPATCHER,
    /** From a node that reports to this one as the new dispatcher. */
    PEER,
    /** From the platform's store. */
    STORE
  }

  /** Learns of changes. */
  public interface BlockListener {
    /** Called when a part that was not blocked is. */
    void onBlocked(String part, Source source);

    /** Called when a part has been blocked for its time. */
    void onExpired(String part);
  }

  /** Adds a listener. */
  public void addListener(BlockListener listener) {
    listeners.add(listener);
  }

  /** Returns whether prompts with this part are blocked. */
  public boolean contains(String part) {
    return untilNanos.containsKey(part);
  }

  /** Returns the blocked parts. */
  public ImmutableSet<String> parts() {
    return ImmutableSet.copyOf(untilNanos.keySet());
  }

  /** Returns the blocked part of a prompt. */
  Optional<String> blockedPartOf(PromptParts prompt) {
    return prompt.shared().stream().filter(this::contains).findFirst();
  }

  /** Returns for how long a part will still be blocked. */
  Duration remaining(String part) {
    Long until = untilNanos.get(part);
    return until == null ? Duration.ZERO : Duration.ofNanos(until - timing.nanoTime());
  }

  /** Blocks a part for a set time, unless it is blocked already. */
  public void block(String part, Source source) {
    if (contains(part)) {
      return;
    }
    untilNanos.put(part, timing.nanoTime() + BLOCK_DURATION.toNanos());
    log.write("prompt_part.blocked", ImmutableMap.of("part", part, "source", source));
    timing.schedule(BLOCK_DURATION, () -> expire(part));
    listeners.forEach(listener -> listener.onBlocked(part, source));
  }

  /** Unblocks a part at once. */
  public void unblock(String part) {
    if (untilNanos.remove(part) != null) {
      log.write("prompt_part.unblocked", ImmutableMap.of("part", part));
    }
  }

  private void expire(String part) {
    Long until = untilNanos.get(part);
    if (until != null && until - timing.nanoTime() <= 0) {
      unblock(part);
      listeners.forEach(listener -> listener.onExpired(part));
    }
  }
}
