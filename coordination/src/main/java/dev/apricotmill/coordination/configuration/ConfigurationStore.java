package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.platform.ConditionalWriter;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.coordination.time.Timing;
import java.util.Iterator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

/**
 * Reads configurations from the platform and proposes changes to them.
 *
 * <p>One conditional update of the head accepts a change. Of two concurrent changes one is accepted
 * and the other gets {@link ChangeResult.ConflictsWith}. A proposal whose response was lost can be
 * repeated with the same identifier and then gets its actual outcome.
 */
public final class ConfigurationStore {

  private final Timing timing;
  private final Platform platform;
  private final WriterSettings settings;
  private final ConditionalWriter writer;

  /** Creates a store; {@code random} must be thread-safe. */
  public ConfigurationStore(
      Timing timing, Platform platform, WriterSettings settings, RandomGenerator random) {
    this.timing = timing;
    this.platform = platform;
    this.settings = settings;
    this.writer = new ConditionalWriter(timing, platform, settings, random);
  }

  /** Proposes a change and returns its outcome. */
  public CompletionStage<ChangeResult> propose(ConfigurationChange change) {
    return new ConfigurationProposal(
            platform, writer, settings.callTimeout(), change, timing.clock().instant())
        .run();
  }

  /** Reads the current head. */
  public CompletionStage<HeadResult> readHead() {
    return platform
        .get(ConfigurationKeys.HEAD, settings.callTimeout())
        .thenApply(ConfigurationStore::headOf);
  }

  /** Reads the head of one generation. */
  public CompletionStage<HeadResult> readGeneration(long generation) {
    return readHead()
        .thenCompose(
            result -> {
              boolean isReplaced =
                  result instanceof HeadResult.Found found
                      && found.head().generation() != generation;
              return isReplaced
                  ? platform
                      .get(ConfigurationKeys.history(generation), settings.callTimeout())
                      .thenApply(ConfigurationStore::headOf)
                  : CompletableFuture.completedFuture(result);
            });
  }

  /** Reads the newest heads, at most {@code limit}, newest first. */
  public CompletionStage<HistoryResult> history(int limit) {
    return readHead().thenCompose(result -> collectHistory(result, ImmutableList.of(), limit));
  }

  /** Loads all parts of a configuration. */
  public CompletionStage<BundleResult> load(ConfigurationHead head) {
    return loadRemaining(head, head.parts().iterator(), ImmutableMap.builder());
  }

  private CompletionStage<HistoryResult> collectHistory(
      HeadResult next, ImmutableList<ConfigurationHead> heads, int limit) {
    if (next instanceof HeadResult.Unavailable failed) {
      return CompletableFuture.completedFuture(new HistoryResult.Unavailable(failed.failure()));
    }
    if (!(next instanceof HeadResult.Found found) || heads.size() == limit) {
      return CompletableFuture.completedFuture(new HistoryResult.Listed(heads));
    }
    ImmutableList<ConfigurationHead> extended =
        ImmutableList.<ConfigurationHead>builder().addAll(heads).add(found.head()).build();
    if (found.head().previousGeneration() == 0) {
      return CompletableFuture.completedFuture(new HistoryResult.Listed(extended));
    }
    return platform
        .get(ConfigurationKeys.history(found.head().previousGeneration()), settings.callTimeout())
        .thenCompose(read -> collectHistory(headOf(read), extended, limit));
  }

  private CompletionStage<BundleResult> loadRemaining(
      ConfigurationHead head,
      Iterator<ConfigurationPart> remaining,
      ImmutableMap.Builder<String, PartContent> loaded) {
    if (!remaining.hasNext()) {
      return CompletableFuture.completedFuture(
          new BundleResult.Loaded(new ConfigurationBundle(head, loaded.buildOrThrow())));
    }
    ConfigurationPart part = remaining.next();
    return platform
        .get(ConfigurationKeys.part(part.sha256()), settings.callTimeout())
        .thenCompose(
            result -> {
              if (result instanceof ReadResult.Unavailable failed) {
                return CompletableFuture.completedFuture(
                    new BundleResult.Unavailable(failed.failure()));
              }
              if (result instanceof ReadResult.Found found) {
                PartContent content = PartContent.copyOf(found.object().value());
                if (content.sha256().equals(part.sha256())) {
                  return loadRemaining(head, remaining, loaded.put(part.name(), content));
                }
              }
              return CompletableFuture.completedFuture(new BundleResult.PartUnusable(part.name()));
            });
  }

  static HeadResult headOf(ReadResult result) {
    if (result instanceof ReadResult.Unavailable failed) {
      return new HeadResult.Unavailable(failed.failure());
    }
    if (!(result instanceof ReadResult.Found found)) {
      return new HeadResult.None();
    }
    return HeadCodec.decode(found.object().value())
        .<HeadResult>map(
            head -> head.generation() == 0 ? new HeadResult.None() : new HeadResult.Found(head))
        .orElse(new HeadResult.Unavailable(PlatformFailure.MALFORMED_ANSWER));
  }
}
