package dev.apricotmill.adapters;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.core.engine.CacheEvents;
import dev.apricotmill.core.engine.EngineLoad;
import dev.apricotmill.core.engine.EngineOrder;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.EngineRole;
import dev.apricotmill.core.engine.ExportId;
import dev.apricotmill.core.engine.HeldMemory;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.request.PrefixFingerprint;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.List;

/** The JSON messages of an engine's API, except the events of a stream. */
final class EngineMessages {

  private EngineMessages() {}

  /** Identifies a sequence. */
  record Sequence(String daemon, long incarnation, String request, int attempt) {
    static Sequence of(SequenceId id) {
      return new Sequence(
          id.owner().daemon().name(), id.owner().number(), id.request().value(), id.attempt());
    }

    SequenceId toId() {
      Incarnation owner = new Incarnation(new DaemonId(daemon), incarnation);
      return new SequenceId(owner, new RequestId(request), attempt);
    }
  }

  /** Whether the stream ends with token counts. */
  record StreamOptions(boolean includeUsage) {}

  /** The extension fields of a completions request. */
  record Extension(Sequence sequence, long resumeAt, String generatedText, long timeLimitMs) {}

  /** A streamed completions request. */
  record Completion(
      String prompt,
      int maxTokens,
      boolean stream,
      StreamOptions streamOptions,
      int priority,
      Extension apricotmill) {
    static Completion of(EngineRequest request) {
      return new Completion(
          request.prompt(),
          request.maximumOutputTokens(),
          true,
          new StreamOptions(true),
          request.enginePriority(),
          new Extension(
              Sequence.of(request.sequence()),
              request.resumeAt(),
              request.generatedText(),
              Math.max(1, request.timeLimit().toMillis())));
    }
  }

  /** Names the sequence to cancel or export. */
  record SequenceCall(Sequence sequence) {}

  /** Names an export. */
  record ExportCall(String export) {}

  /** Requests the import of another engine's export. */
  record ImportCall(String source, String export, Sequence sequence) {}

  /** The number of tokens that were imported. */
  record Imported(long tokens) {}

  /** Whether a cancel or release found the sequence or export. */
  record Released(boolean released) {}

  /** A load report. */
  record Load(
      long memoryTokens,
      long usedTokens,
      int running,
      int waiting,
      String modelVersion,
      EngineRole role) {
    EngineLoad toLoad() {
      return new EngineLoad(memoryTokens, usedTokens, running, waiting, modelVersion, role);
    }
  }

  /** A sequence that holds engine memory. */
  record HeldSequence(Sequence sequence, long tokens, long remainingMs) {
    HeldMemory.Sequence toHeld() {
      return new HeldMemory.Sequence(sequence.toId(), tokens, Duration.ofMillis(remainingMs));
    }
  }

  /** An export that holds engine memory. */
  record HeldExport(String export, Sequence sequence, long tokens, long ageMs) {
    HeldMemory.Export toHeld() {
      return new HeldMemory.Export(
          new ExportId(export), sequence.toId(), tokens, Duration.ofMillis(ageMs));
    }
  }

  /** All sequences and exports that hold engine memory. */
  record Held(List<HeldSequence> sequences, List<HeldExport> exports) {
    HeldMemory toHeldMemory() {
      return new HeldMemory(
          sequences.stream().map(HeldSequence::toHeld).collect(ImmutableList.toImmutableList()),
          exports.stream().map(HeldExport::toHeld).collect(ImmutableList.toImmutableList()));
    }
  }

  /** A prefix cache event. */
  record CacheEvent(long prefix, boolean stored) {
    CacheEvents.Event toEvent() {
      return new CacheEvents.Event(new PrefixFingerprint(prefix), stored);
    }
  }

  /** Prefix cache events in order. */
  record CacheEventPage(List<CacheEvent> events, long lastSequence, boolean gap) {
    CacheEvents toEvents() {
      return new CacheEvents(
          events.stream().map(CacheEvent::toEvent).collect(ImmutableList.toImmutableList()),
          lastSequence,
          gap);
    }
  }

  /** Orders an engine to serve a model version with these adapters in this role. */
  record Order(
      long fencingNumber,
      String model,
      String version,
      ImmutableSet<String> adapters,
      EngineRole role) {
    static Order of(EngineOrder order) {
      return new Order(
          order.fencingNumber(), order.model(), order.version(), order.adapters(), order.role());
    }
  }

  /** The highest fencing number that the engine has seen. */
  record Fence(long highestSeen) {}
}
