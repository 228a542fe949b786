package dev.apricotmill.daemon.process;

import java.util.logging.LogManager;

/** Keeps the log handlers during JVM shutdown, so that a drain can still be logged. */
public final class NonResettingLogManager extends LogManager {

  /** Creates the manager; the Java runtime instantiates it by class name. */
  public NonResettingLogManager() {}

  /** Does nothing; otherwise the JVM's shutdown hook would remove the handlers. */
  @Override
  public void reset() {}
}
