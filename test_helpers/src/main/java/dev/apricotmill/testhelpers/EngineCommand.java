package dev.apricotmill.testhelpers;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.testhelpers.engine.EngineServer;
import dev.apricotmill.testhelpers.engine.EngineSettings;
import java.io.IOException;
import java.time.Duration;

/** The arguments of the engine stand-in. */
@Parameters(commandDescription = "A model engine with continuous batching.")
final class EngineCommand implements StandInCommand {

  @Parameter(names = "--port", description = "TCP port on the loopback address, 0 for any")
  private int port;

  @Parameter(names = "--memory-tokens", description = "KV memory in tokens")
  private long memoryTokens = 400_000;

  @Parameter(names = "--prefill-tokens-per-second", description = "Prompt tokens read in a second")
  private double prefillTokensPerSecond = 40_000;

  @Parameter(names = "--decode-tokens-per-second", description = "Tokens of a sequence in a second")
  private double decodeTokensPerSecond = 50;

  @Parameter(names = "--maximum-sequences", description = "Sequences in one batch")
  private int maximumSequences = 64;

  @Parameter(names = "--fencing", description = "CHECKED or IGNORED")
  private EngineSettings.Fencing fencing = EngineSettings.Fencing.CHECKED;

  @Parameter(names = "--load-lag-ms", description = "Age that a load report may have")
  private long loadLagMillis = 500;

  @Parameter(names = "--loading-time-ms", description = "Time to load a model or version")
  private long loadingTimeMillis = 2000;

  @Override
  public PeerAddress start(Timing timing) throws IOException {
    EngineProfile profile =
        new EngineProfile(
            memoryTokens, prefillTokensPerSecond, decodeTokensPerSecond, maximumSequences);
    EngineSettings settings =
        new EngineSettings(
            profile,
            fencing,
            Duration.ofMillis(loadLagMillis),
            Duration.ofMillis(loadingTimeMillis));
    return new EngineServer(settings, port, timing).address();
  }
}
