package dev.apricotmill.node.testing;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.configuration.ChangeResult;
import dev.apricotmill.coordination.configuration.ConfigurationChange;
import dev.apricotmill.coordination.configuration.ConfigurationStore;
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

/** Accepts configurations at the platform, each on top of the one before. */
final class ConfigurationWriter {

  private static final Duration TIME_LIMIT = Duration.ofSeconds(2);

  private final VirtualTime time;
  private final ConfigurationStore store;
  private long generation;

  ConfigurationWriter(VirtualTime time, Timing timing, Platform platform) {
    this.time = time;
    this.store =
        new ConfigurationStore(
            timing, platform, WriterSettings.defaults(), new SplittableRandom(1));
  }

  ChangeResult apply(Configuration configuration) {
    ImmutableMap.Builder<String, PartContent> parts = ImmutableMap.builder();
    ConfigurationCodec.encode(configuration)
        .forEach((name, bytes) -> parts.put(name, PartContent.copyOf(bytes)));
    CompletableFuture<ChangeResult> result =
        store
            .propose(
                new ConfigurationChange(
                    generation, parts.buildOrThrow(), "operator", "change-" + generation))
            .toCompletableFuture();
    time.advance(TIME_LIMIT);
    ChangeResult done = result.getNow(new ChangeResult.Undetermined("late"));
    if (done instanceof ChangeResult.Accepted accepted) {
      generation = accepted.head().generation();
    }
    return done;
  }
}
