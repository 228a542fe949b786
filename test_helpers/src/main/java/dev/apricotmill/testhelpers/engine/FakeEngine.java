package dev.apricotmill.testhelpers.engine;

import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.engine.CacheEvents;
import dev.apricotmill.core.engine.CancelResult;
import dev.apricotmill.core.engine.EngineLoad;
import dev.apricotmill.core.engine.EngineOrder;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.EngineResult;
import dev.apricotmill.core.engine.ExportId;
import dev.apricotmill.core.engine.GenerationListener;
import dev.apricotmill.core.engine.HeldMemory;
import dev.apricotmill.core.engine.ImportAccepted;
import dev.apricotmill.core.engine.ModelEngine;
import dev.apricotmill.core.engine.OrderResult;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.testhelpers.fault.FaultSwitch;
import dev.apricotmill.testhelpers.peers.Link;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/**
 * An engine in the test's own process. Its clients see it through {@link #portFor}, which delivers
 * on the client's scheduler, so that a frozen or dead client hears nothing.
 *
 * <p>Not safe for use by several threads: everything runs on one virtual timeline.
 */
public final class FakeEngine implements ModelEngine {

  private static final Duration DEFAULT_LATENCY = Duration.ofNanos(500_000);
  private static final Duration DEFAULT_LATENESS = Duration.ofSeconds(2);

  private final Timing timing;
  private final EngineCore core;
  private final FaultSwitch<EngineOperation> faults = new FaultSwitch<>(EngineOperation.class);
  private final ModelEngine ownPort;
  private Link link = Link.UP;
  private Duration latency = DEFAULT_LATENCY;
  private Duration lateness = DEFAULT_LATENESS;

  /** Creates an idle engine on {@code timing}. */
  public FakeEngine(EngineSettings settings, Timing timing) {
    this.timing = timing;
    this.core = new EngineCore(settings, timing);
    this.ownPort = portFor(timing);
  }

  /** Returns the port as a client with its own scheduler sees it. */
  public ModelEngine portFor(Timing client) {
    return new FakeEnginePort(this, client);
  }

  /** Returns the model of the engine, with its log. */
  public EngineCore core() {
    return core;
  }

  /** Returns the switch for faults of single calls. */
  public FaultSwitch<EngineOperation> faults() {
    return faults;
  }

  /** Sets the state of the way to the engine, for all clients. */
  public void setLink(Link newLink) {
    link = newLink;
  }

  /** Sets the time of a message in one direction. */
  public void setLatency(Duration newLatency) {
    latency = newLatency;
  }

  /** Sets how much later a late answer comes. */
  public void setLateness(Duration newLateness) {
    lateness = newLateness;
  }

  Timing timing() {
    return timing;
  }

  Link link() {
    if (core.isDead()) {
      return Link.REFUSING;
    }
    return core.isFrozen() ? Link.SILENT : link;
  }

  Duration latency() {
    return latency;
  }

  Duration lateness() {
    return lateness;
  }

  @Override
  public Flow.Subscription generate(EngineRequest request, GenerationListener listener) {
    return ownPort.generate(request, listener);
  }

  @Override
  public CompletionStage<CancelResult> cancel(SequenceId sequence, Duration timeout) {
    return ownPort.cancel(sequence, timeout);
  }

  @Override
  public CompletionStage<EngineResult<EngineLoad>> load(Duration timeout) {
    return ownPort.load(timeout);
  }

  @Override
  public CompletionStage<EngineResult<HeldMemory>> heldMemory(Duration timeout) {
    return ownPort.heldMemory(timeout);
  }

  @Override
  public CompletionStage<EngineResult<CacheEvents>> cacheEvents(
      long afterSequence, Duration timeout) {
    return ownPort.cacheEvents(afterSequence, timeout);
  }

  @Override
  public CompletionStage<EngineResult<ExportId>> exportCache(
      SequenceId sequence, Duration timeout) {
    return ownPort.exportCache(sequence, timeout);
  }

  @Override
  public CompletionStage<EngineResult<ImportAccepted>> importCache(
      String source, ExportId export, SequenceId sequence, Duration timeout) {
    return ownPort.importCache(source, export, sequence, timeout);
  }

  @Override
  public CompletionStage<CancelResult> releaseExport(ExportId export, Duration timeout) {
    return ownPort.releaseExport(export, timeout);
  }

  @Override
  public CompletionStage<OrderResult> order(EngineOrder order, Duration timeout) {
    return ownPort.order(order, timeout);
  }
}
