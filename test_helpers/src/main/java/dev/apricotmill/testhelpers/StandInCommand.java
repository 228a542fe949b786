package dev.apricotmill.testhelpers;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import java.io.IOException;

/** One kind of stand-in with its arguments. */
interface StandInCommand {

  /** Starts the stand-in and returns where it listens. */
  PeerAddress start(Timing timing) throws IOException;
}
