package dev.apricotmill.testhelpers.engine;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.engine.ExportId;
import dev.apricotmill.core.engine.HeldMemory;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the exports of an engine, and the imports that no sequence has taken over yet.
 *
 * <p>The identifier of an export tells its length, so that the importing stand-in need not ask.
 */
final class CacheTransfers {

  private record Export(SequenceId sequence, long tokens, long madeAtNanos) {}

  private record Import(SequenceId sequence, long tokens, long madeAtNanos) {}

  private static final Duration IMPORT_LIFETIME = Duration.ofSeconds(30);

  private final EngineMemory memory;
  private final Timing timing;
  private final Map<ExportId, Export> exports = new LinkedHashMap<>();
  private final Map<RequestId, Import> imports = new LinkedHashMap<>();
  private long exportsMade;

  CacheTransfers(EngineMemory memory, Timing timing) {
    this.memory = memory;
    this.timing = timing;
  }

  Optional<ExportId> export(SequenceId sequence, long tokens) {
    if (!memory.reserve(tokens)) {
      return Optional.empty();
    }
    ExportId id = new ExportId("export-" + exportsMade++ + "-" + tokens);
    exports.put(id, new Export(sequence, tokens, timing.nanoTime()));
    return Optional.of(id);
  }

  Optional<HeldMemory.Export> release(ExportId id) {
    Export export = exports.remove(id);
    if (export == null) {
      return Optional.empty();
    }
    memory.free(export.tokens());
    return Optional.of(held(id, export));
  }

  Optional<Long> importFor(ExportId export, SequenceId sequence) {
    List<String> parts = Splitter.on('-').splitToList(export.value());
    Long tokens = Longs.tryParse(parts.get(parts.size() - 1));
    if (tokens == null || imports.containsKey(sequence.request()) || !memory.reserve(tokens)) {
      return Optional.empty();
    }
    imports.put(sequence.request(), new Import(sequence, tokens, timing.nanoTime()));
    return Optional.of(tokens);
  }

  /** Frees the import for a request and returns its length, zero if there is none. */
  long takeImport(RequestId request) {
    Import taken = imports.remove(request);
    if (taken == null) {
      return 0;
    }
    memory.free(taken.tokens());
    return taken.tokens();
  }

  ImmutableList<HeldMemory.Sequence> heldImports() {
    return imports.values().stream().map(this::heldImport).collect(ImmutableList.toImmutableList());
  }

  private HeldMemory.Sequence heldImport(Import held) {
    long left = IMPORT_LIFETIME.toNanos() - (timing.nanoTime() - held.madeAtNanos());
    return new HeldMemory.Sequence(
        held.sequence(), held.tokens(), Duration.ofNanos(Math.max(0, left)));
  }

  ImmutableList<HeldMemory.Export> heldExports() {
    return exports.entrySet().stream()
        .map(entry -> held(entry.getKey(), entry.getValue()))
        .collect(ImmutableList.toImmutableList());
  }

  private HeldMemory.Export held(ExportId id, Export export) {
    Duration age = Duration.ofNanos(timing.nanoTime() - export.madeAtNanos());
    return new HeldMemory.Export(id, export.sequence(), export.tokens(), age);
  }

  void clear() {
    exports.clear();
    imports.clear();
  }
}
