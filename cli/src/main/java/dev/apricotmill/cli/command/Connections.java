package dev.apricotmill.cli.command;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.Platform;

/** Opens the ways to the platform and to daemons. */
public interface Connections {
  /** Returns the platform at an address. */
  Platform platform(PeerAddress address);

  /** Returns the way to the operators' ports of daemons. */
  OperatorPort operatorPort();
}
