package dev.apricotmill.daemon.process;

import java.lang.System.Logger.Level;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Logger;

/** Configures logging to standard error, one line for each record. */
public final class Logs {

  private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

  private Logs() {}

  /** Installs the log manager; must run before any logger is created. */
  public static void install() {
    System.setProperty(LOG_MANAGER_PROPERTY, NonResettingLogManager.class.getName());
  }

  /** Sets the lowest level logged by the project; libraries log warnings and errors only. */
  public static void configure(Level level) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    Handler handler = new ConsoleHandler();
    handler.setFormatter(new LineFormatter());
    handler.setLevel(java.util.logging.Level.ALL);
    root.addHandler(handler);
    root.setLevel(java.util.logging.Level.WARNING);
    ProjectLogger.INSTANCE.setLevel(julLevel(level));
  }

  private static java.util.logging.Level julLevel(Level level) {
    return switch (level) {
      case ERROR -> java.util.logging.Level.SEVERE;
      case WARNING -> java.util.logging.Level.WARNING;
      case DEBUG -> java.util.logging.Level.FINE;
      default -> java.util.logging.Level.INFO;
    };
  }

  /** Holds a strong reference, so that the level is kept; loaded after the log manager is set. */
  private static final class ProjectLogger {
    private static final Logger INSTANCE = Logger.getLogger("dev.apricotmill");

    private ProjectLogger() {}
  }
}
