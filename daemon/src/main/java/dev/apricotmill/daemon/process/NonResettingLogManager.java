package dev.apricotmill.daemon.process;

import java.util.logging.LogManager;

/** Keeps its handlers during the runtime's shutdown, so that a drain can still be logged. */
public final class NonResettingLogManager extends LogManager {

  /** Creates the manager; the runtime calls this by the name of the class. */
  public NonResettingLogManager() {}

  /** Does nothing: the runtime's shutdown hook would otherwise drop the handlers. */
  @Override
  public void reset() {}
}
