package dev.apricotmill.testhelpers;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.testhelpers.service.ServiceServer;
import java.io.IOException;

/** The arguments of the plain service stand-in. */
@Parameters(commandDescription = "One replica of a plain service.")
final class ServiceCommand implements StandInCommand {

  @Parameter(names = "--port", description = "TCP port on the loopback address, 0 for any")
  private int port;

  @Parameter(names = "--replica", description = "Name of the replica in its log")
  private String replica = "replica";

  @Override
  public PeerAddress start(Timing timing) throws IOException {
    return new ServiceServer(replica, port, timing).address();
  }
}
