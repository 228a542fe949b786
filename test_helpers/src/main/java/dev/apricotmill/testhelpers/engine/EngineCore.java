package dev.apricotmill.testhelpers.engine;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.engine.CacheEvents;
import dev.apricotmill.core.engine.CancelResult;
import dev.apricotmill.core.engine.EngineLoad;
import dev.apricotmill.core.engine.EngineOrder;
import dev.apricotmill.core.engine.EngineRefusal;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.ExportId;
import dev.apricotmill.core.engine.HeldMemory;
import dev.apricotmill.core.engine.OrderResult;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.testhelpers.StandInText;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The model of an engine without sockets: continuous batching on injected time, an account of KV
 * memory, a prefix cache, orders, and a log of what really happened.
 *
 * <p>It drops nothing by itself: a sequence ends when it has generated its last token, or when
 * somebody cancels it.
 */
public final class EngineCore {

  private final EngineSettings settings;
  private final Timing timing;
  private final EngineMemory memory;
  private final PrefixCache cache;
  private final CacheTransfers transfers;
  private final EngineModelState model;
  private final Map<SequenceId, RunningSequence> sequences = new LinkedHashMap<>();
  private final List<EngineLogEntry> log = new ArrayList<>();
  private Optional<EngineLoad> report = Optional.empty();
  private long reportAtNanos;
  private long arrivals;
  private boolean stepScheduled;
  private boolean frozen;
  private boolean dead;
  private long life;

  /** Creates an idle engine on {@code timing}. */
  public EngineCore(EngineSettings settings, Timing timing) {
    this.settings = settings;
    this.timing = timing;
    this.memory = new EngineMemory(settings.profile().memoryTokens());
    this.cache = new PrefixCache(settings.profile().memoryTokens() / 4);
    this.transfers = new CacheTransfers(memory, timing);
    this.model = new EngineModelState(settings, timing);
  }

  /** Takes a sequence, or refuses it before it starts. */
  synchronized StartResult start(EngineRequest request, TokenSink sink) {
    Optional<EngineRefusal> refusal = refusalOf(request);
    if (refusal.isPresent()) {
      return new StartResult.Refused(refusal.get());
    }
    long imported = transfers.takeImport(request.sequence().request());
    long deadline = timing.nanoTime() + request.timeLimit().toNanos();
    long cached = Math.max(imported, cache.touch(request.prompt()));
    RunningSequence sequence = new RunningSequence(request, sink, arrivals++, deadline, cached);
    if (!memory.reserve(sequence.memoryTokens())) {
      return new StartResult.Refused(EngineRefusal.NO_MEMORY);
    }
    sequences.put(request.sequence(), sequence);
    note(EngineLogEntry.Kind.STARTED, request.sequence(), sequence.memoryTokens());
    scheduleStep();
    return new StartResult.Started();
  }

  private Optional<EngineRefusal> refusalOf(EngineRequest request) {
    if (dead) {
      return Optional.of(EngineRefusal.UNREACHABLE);
    }
    if (!model.isServing()) {
      return Optional.of(EngineRefusal.NOT_SERVING);
    }
    boolean resumable =
        request.generatedText().equals(StandInText.expected(request.prompt(), request.resumeAt()));
    boolean valid =
        request.maximumOutputTokens() > request.resumeAt()
            && resumable
            && !sequences.containsKey(request.sequence());
    return valid ? Optional.empty() : Optional.of(EngineRefusal.INVALID);
  }

  private void scheduleStep() {
    if (stepScheduled || frozen || sequences.isEmpty()) {
      return;
    }
    EngineBatch batch = EngineBatch.choose(sequences.values(), settings.profile());
    stepScheduled = true;
    long stepLife = life;
    timing.schedule(batch.duration(settings.profile()), () -> step(batch, stepLife));
  }

  private synchronized void step(EngineBatch batch, long stepLife) {
    if (stepLife != life) {
      return;
    }
    stepScheduled = false;
    if (frozen) {
      return;
    }
    batch.decoding().stream().filter(this::isHeld).forEach(this::decode);
    for (EngineBatch.Prefill prefill : batch.prefills()) {
      if (isHeld(prefill.sequence()) && prefill.sequence().prefill(prefill.tokens())) {
        note(EngineLogEntry.Kind.FIRST_TOKEN, prefill.sequence().request().sequence(), 1);
        decode(prefill.sequence());
      }
    }
    scheduleStep();
  }

  private boolean isHeld(RunningSequence sequence) {
    return sequences.get(sequence.request().sequence()) == sequence;
  }

  private void decode(RunningSequence sequence) {
    sequence.decodeOne();
    if (sequence.isFinished()) {
      remove(sequence, EngineLogEntry.Kind.FINISHED);
      sequence.finish();
    }
  }

  private void remove(RunningSequence sequence, EngineLogEntry.Kind kind) {
    sequences.remove(sequence.request().sequence());
    memory.free(sequence.memoryTokens());
    note(kind, sequence.request().sequence(), sequence.memoryTokens());
  }

  /** Cancels a sequence and frees its memory. */
  public synchronized CancelResult cancel(SequenceId id) {
    RunningSequence sequence = sequences.get(id);
    if (sequence != null) {
      remove(sequence, EngineLogEntry.Kind.CANCELLED);
      sequence.sink().onGone();
      return CancelResult.RELEASED;
    }
    long imported = transfers.takeImport(id.request());
    if (imported == 0) {
      return CancelResult.NOT_HELD;
    }
    note(EngineLogEntry.Kind.RELEASED, id, imported);
    return CancelResult.RELEASED;
  }

  /** Returns the load report, which lags. */
  public synchronized EngineLoad load() {
    long now = timing.nanoTime();
    if (report.isEmpty() || now - reportAtNanos >= settings.loadLag().toNanos()) {
      report = Optional.of(currentLoad());
      reportAtNanos = now;
    }
    return report.get();
  }

  private EngineLoad currentLoad() {
    int held = sequences.size();
    int running = Math.min(held, settings.profile().maximumSequences());
    return new EngineLoad(
        memory.capacityTokens(),
        memory.usedTokens(),
        running,
        held - running,
        model.version(),
        model.role());
  }

  /** Returns the tokens in use now, without any lag. */
  public synchronized long usedTokens() {
    return memory.usedTokens();
  }

  /** Lists what holds memory. */
  public synchronized HeldMemory held() {
    ImmutableList.Builder<HeldMemory.Sequence> held = ImmutableList.builder();
    for (RunningSequence sequence : sequences.values()) {
      long left = Math.max(0, sequence.deadlineNanos() - timing.nanoTime());
      held.add(
          new HeldMemory.Sequence(
              sequence.request().sequence(), sequence.memoryTokens(), Duration.ofNanos(left)));
    }
    held.addAll(transfers.heldImports());
    return new HeldMemory(held.build(), transfers.heldExports());
  }

  /** Returns the prefix cache events after a number. */
  public synchronized CacheEvents cacheEvents(long after) {
    return cache.eventsAfter(after);
  }

  /** Loses the oldest cache events, so that readers see a gap. */
  public synchronized void loseCacheEvents(int count) {
    cache.dropEvents(count);
  }

  /** Exports the KV cache of a sequence; empty if it is not held or memory is short. */
  public synchronized Optional<ExportId> exportCache(SequenceId id) {
    RunningSequence sequence = sequences.get(id);
    if (sequence == null) {
      return Optional.empty();
    }
    Optional<ExportId> export = transfers.export(id, sequence.memoryTokens());
    export.ifPresent(made -> note(EngineLogEntry.Kind.EXPORTED, id, sequence.memoryTokens()));
    return export;
  }

  /** Imports an export for a sequence to come; empty if memory is short or the export unknown. */
  public synchronized Optional<Long> importCache(ExportId export, SequenceId id) {
    Optional<Long> imported = transfers.importFor(export, id);
    imported.ifPresent(tokens -> note(EngineLogEntry.Kind.IMPORTED, id, tokens));
    return imported;
  }

  /** Releases an export. */
  public synchronized CancelResult releaseExport(ExportId export) {
    Optional<HeldMemory.Export> released = transfers.release(export);
    released.ifPresent(held -> note(EngineLogEntry.Kind.RELEASED, held.sequence(), held.tokens()));
    return released.isPresent() ? CancelResult.RELEASED : CancelResult.NOT_HELD;
  }

  /** Takes an order, or refuses it because of its fencing number. */
  public synchronized OrderResult order(EngineOrder order) {
    OrderResult result = model.order(order);
    boolean obeyed = result instanceof OrderResult.Accepted;
    log.add(
        new EngineLogEntry(
            timing.nanoTime(),
            obeyed ? EngineLogEntry.Kind.ORDER_OBEYED : EngineLogEntry.Kind.ORDER_FENCED,
            Optional.empty(),
            order.fencingNumber()));
    return result;
  }

  /** Runs a task on the engine's time. */
  void schedule(Duration delay, Runnable task) {
    timing.schedule(delay, task);
  }

  /** Stops all steps; sequences keep their memory. */
  public synchronized void freeze() {
    frozen = true;
  }

  /** Goes on after {@link #freeze}. */
  public synchronized void thaw() {
    frozen = false;
    scheduleStep();
  }

  /** Returns whether the engine is frozen. */
  public synchronized boolean isFrozen() {
    return frozen;
  }

  /** Loses all it holds and takes nothing until {@link #restart}. */
  public synchronized void kill() {
    dead = true;
    life++;
    stepScheduled = false;
    List<RunningSequence> lost = ImmutableList.copyOf(sequences.values());
    sequences.clear();
    transfers.clear();
    memory.free(memory.usedTokens());
    log.add(
        new EngineLogEntry(
            timing.nanoTime(), EngineLogEntry.Kind.DIED, Optional.empty(), lost.size()));
    lost.forEach(sequence -> sequence.sink().onGone());
  }

  /** Serves again after {@link #kill}, with empty memory. */
  public synchronized void restart() {
    dead = false;
  }

  /** Returns whether the engine is dead. */
  public synchronized boolean isDead() {
    return dead;
  }

  /** Returns what really happened, oldest first. */
  public synchronized ImmutableList<EngineLogEntry> log() {
    return ImmutableList.copyOf(log);
  }

  private void note(EngineLogEntry.Kind kind, SequenceId sequence, long tokens) {
    log.add(new EngineLogEntry(timing.nanoTime(), kind, Optional.of(sequence), tokens));
  }
}
