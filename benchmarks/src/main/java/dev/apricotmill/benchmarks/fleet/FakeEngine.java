package dev.apricotmill.benchmarks.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * One engine in virtual time: continuous batching with chunked prefill, priorities, KV memory and a
 * prefix cache.
 *
 * <p>Sequences that do not fit wait inside the engine by priority and arrival.
 */
public final class FakeEngine {

  private static final Comparator<EngineSequence> ORDER =
      Comparator.comparingInt(EngineSequence::priority).thenComparingLong(EngineSequence::arrival);

  private final EventLoop loop;
  private final EngineModel model;
  private final Map<String, EngineSequence> sequences = new LinkedHashMap<>();
  private final TreeSet<EngineSequence> waiting = new TreeSet<>(ORDER);
  private final TreeSet<EngineSequence> reading = new TreeSet<>(ORDER);
  private final Map<String, EngineSequence> decoding = new LinkedHashMap<>();
  private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private long usedTokens;
  private long arrivals;
  private long life;
  private boolean stepping;
  private boolean alive = true;
  private double slowness = 1;

  /** Creates an idle engine. */
  public FakeEngine(EventLoop loop, EngineModel model) {
    this.loop = loop;
    this.model = model;
  }

  /** Starts a sequence; returns false, and starts nothing, if the engine is dead. */
  public boolean start(EngineSequence sequence) {
    if (!alive) {
      return false;
    }
    sequence.arrived(arrivals);
    arrivals++;
    sequences.put(sequence.id(), sequence);
    waiting.add(sequence);
    step();
    return true;
  }

  /** Cancels a sequence and frees its memory. */
  public void cancel(String id) {
    EngineSequence sequence = sequences.remove(id);
    if (sequence != null) {
      waiting.remove(sequence);
      free(sequence);
    }
  }

  /** Kills the engine; all its sequences break. */
  public void kill() {
    alive = false;
    life++;
    stepping = false;
    List<EngineSequence> lost = new ArrayList<>(sequences.values());
    sequences.clear();
    waiting.clear();
    reading.clear();
    decoding.clear();
    cache.clear();
    usedTokens = 0;
    lost.forEach(sequence -> sequence.listener().onBroken());
  }

  /** Starts the engine again, empty. */
  public void revive() {
    alive = true;
  }

  /** Makes every step take that many times as long. */
  public void slowDown(double factor) {
    slowness = factor;
  }

  /** Returns whether the engine runs. */
  public boolean isAlive() {
    return alive;
  }

  /** Returns the memory in use. */
  public long usedTokens() {
    return usedTokens;
  }

  /** Returns how many sequences wait or run. */
  public int open() {
    return sequences.size();
  }

  private void step() {
    if (stepping || !alive) {
      return;
    }
    admit();
    if (reading.isEmpty() && decoding.isEmpty()) {
      return;
    }
    stepping = true;
    Map<EngineSequence, Long> plan = planReading();
    long tokens = plan.values().stream().mapToLong(Long::longValue).sum();
    List<EngineSequence> generating = new ArrayList<>(decoding.values());
    long stepOfLife = life;
    loop.after(
        model.stepNanos(tokens, generating.size(), slowness),
        () -> {
          if (life == stepOfLife) {
            endStep(plan, generating);
          }
        });
  }

  private void admit() {
    Iterator<EngineSequence> inOrder = waiting.iterator();
    while (inOrder.hasNext()) {
      EngineSequence next = inOrder.next();
      boolean full = reading.size() + decoding.size() >= model.maximumSequences();
      if (full || usedTokens + next.memoryTokens() > model.memoryTokens()) {
        return;
      }
      inOrder.remove();
      usedTokens += next.memoryTokens();
      if (next.prefixHash() != 0 && cache.get(next.prefixHash()) != null) {
        next.skipCachedPrefix();
      }
      reading.add(next);
    }
  }

  private Map<EngineSequence, Long> planReading() {
    Map<EngineSequence, Long> plan = new LinkedHashMap<>();
    long left = model.chunkTokens();
    for (EngineSequence sequence : reading) {
      if (left == 0) {
        break;
      }
      long tokens = Math.min(left, sequence.unreadTokens());
      plan.put(sequence, tokens);
      left -= tokens;
    }
    return plan;
  }

  private void endStep(Map<EngineSequence, Long> plan, List<EngineSequence> generating) {
    List<EngineSequence> finished = new ArrayList<>();
    List<EngineSequence> first = new ArrayList<>();
    for (EngineSequence sequence : generating) {
      if (sequences.containsKey(sequence.id()) && sequence.generate()) {
        finished.add(sequence);
      }
    }
    plan.forEach((sequence, tokens) -> endReading(sequence, tokens, first, finished));
    for (EngineSequence sequence : finished) {
      sequences.remove(sequence.id());
      free(sequence);
    }
    stepping = false;
    first.forEach(sequence -> sequence.listener().onFirstToken(sequence.promptTokens()));
    finished.forEach(sequence -> sequence.listener().onFinished());
    step();
  }

  private void endReading(
      EngineSequence sequence,
      long tokens,
      List<EngineSequence> first,
      List<EngineSequence> finished) {
    if (!sequences.containsKey(sequence.id())) {
      return;
    }
    sequence.read(tokens);
    if (sequence.unreadTokens() > 0) {
      return;
    }
    reading.remove(sequence);
    remember(sequence.prefixHash());
    first.add(sequence);
    if (sequence.generate()) {
      finished.add(sequence);
    } else {
      decoding.put(sequence.id(), sequence);
    }
  }

  private void remember(long prefixHash) {
    if (prefixHash != 0) {
      cache.put(prefixHash, true);
      if (cache.size() > model.cachedPrefixes()) {
        Iterator<Long> oldest = cache.keySet().iterator();
        oldest.next();
        oldest.remove();
      }
    }
  }

  private void free(EngineSequence sequence) {
    boolean wasReading = reading.remove(sequence);
    boolean wasDecoding = decoding.remove(sequence.id()) != null;
    if (wasReading || wasDecoding || sequence.unreadTokens() <= 0) {
      usedTokens -= sequence.memoryTokens();
    }
  }
}
