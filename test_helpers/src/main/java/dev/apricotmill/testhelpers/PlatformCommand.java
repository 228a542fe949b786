package dev.apricotmill.testhelpers;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.testhelpers.platform.PlatformServer;
import dev.apricotmill.testhelpers.platform.PlatformSettings;
import java.io.IOException;
import java.time.Duration;

/** The arguments of the platform stand-in. */
@Parameters(commandDescription = "The platform's object store and list of VMs.")
final class PlatformCommand implements StandInCommand {

  @Parameter(names = "--port", description = "TCP port on the loopback address, 0 for any")
  private int port;

  @Parameter(names = "--writes-per-second", description = "Writes taken in a second")
  private int writesPerSecond = PlatformSettings.DEFAULTS.writesPerSecond();

  @Parameter(names = "--reads-per-second", description = "Reads taken in a second")
  private int readsPerSecond = PlatformSettings.DEFAULTS.readsPerSecond();

  @Parameter(names = "--machine-list-lag-ms", description = "Lag of the list of VMs")
  private long machineListLagMillis = PlatformSettings.DEFAULTS.machineListLag().toMillis();

  @Override
  public PeerAddress start(Timing timing) throws IOException {
    PlatformSettings settings =
        new PlatformSettings(
            writesPerSecond, readsPerSecond, Duration.ofMillis(machineListLagMillis));
    return new PlatformServer(settings, port, timing).address();
  }
}
