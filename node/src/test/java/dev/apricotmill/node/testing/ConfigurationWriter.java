package dev.apricotmill.node.testing;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.configuration.ChangeResult;
import dev.apricotmill.coordination.configuration.ConfigurationChange;
import dev.apricotmill.coordination.configuration.ConfigurationStore;
import dev.apricotmill.coordination.configuration.HeadResult;
import dev.apricotmill.coordination.configuration.PartContent;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.ConfigurationCodec;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/** Writes configurations to the platform's store, each based on the previous one. */
final class ConfigurationWriter {

  private static final Duration WRITE_TIME_LIMIT = Duration.ofSeconds(2);

  private final VirtualTime time;
  private final ConfigurationStore store;
  private long acceptedGeneration;
  private int proposalCount;

  ConfigurationWriter(VirtualTime time, Timing timing, Platform platform) {
    this.time = time;
    this.store =
        new ConfigurationStore(
            timing, platform, WriterSettings.defaults(), new SplittableRandom(1));
  }

  ChangeResult apply(Configuration configuration) {
    CompletableFuture<ChangeResult> result = propose(configuration, "operator");
    time.advance(WRITE_TIME_LIMIT);
    return result.getNow(new ChangeResult.Undetermined("late"));
  }

  /** Proposes a change based on the last generation that was reported as accepted. */
  CompletableFuture<ChangeResult> propose(Configuration configuration, String author) {
    ImmutableMap.Builder<String, PartContent> parts = ImmutableMap.builder();
    ConfigurationCodec.encode(configuration)
        .forEach((name, bytes) -> parts.put(name, PartContent.copyOf(bytes)));
    proposalCount++;
    ConfigurationChange change =
        new ConfigurationChange(
            acceptedGeneration, parts.buildOrThrow(), author, author + "-" + proposalCount);
    CompletableFuture<ChangeResult> result = store.propose(change).toCompletableFuture();
    result.thenAccept(this::recordResult);
    return result;
  }

  /** Returns the highest generation that was reported to an operator as accepted. */
  long acceptedGeneration() {
    return acceptedGeneration;
  }

  /** Returns the generation that the platform stores; the platform must be reachable. */
  long storedGeneration() {
    CompletableFuture<HeadResult> result = store.readHead().toCompletableFuture();
    time.advance(WRITE_TIME_LIMIT);
    if (result.getNow(new HeadResult.None()) instanceof HeadResult.Found found) {
      acceptedGeneration = Math.max(acceptedGeneration, found.head().generation());
      return found.head().generation();
    }
    throw new IllegalStateException(
        "cannot read the configuration head within " + WRITE_TIME_LIMIT);
  }

  private void recordResult(ChangeResult result) {
    if (result instanceof ChangeResult.Accepted accepted) {
      acceptedGeneration = Math.max(acceptedGeneration, accepted.head().generation());
    }
  }
}
