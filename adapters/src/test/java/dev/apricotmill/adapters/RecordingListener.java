package dev.apricotmill.adapters;

import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.GenerationListener;
import dev.apricotmill.core.engine.TokenChunk;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** Records the chunks and the end of a stream. */
final class RecordingListener implements GenerationListener {

  private final List<TokenChunk> chunks = new CopyOnWriteArrayList<>();
  private final CompletableFuture<GenerationEnd> end = new CompletableFuture<>();

  @Override
  public void onChunk(TokenChunk chunk) {
    if (end.isDone()) {
      throw new IllegalStateException("received a chunk after the end");
    }
    chunks.add(chunk);
  }

  @Override
  public void onEnd(GenerationEnd newEnd) {
    if (!end.complete(newEnd)) {
      throw new IllegalStateException("received a second end");
    }
  }

  int count() {
    return chunks.size();
  }

  String text() {
    return chunks.stream().map(TokenChunk::text).collect(Collectors.joining());
  }

  CompletableFuture<GenerationEnd> end() {
    return end;
  }
}
