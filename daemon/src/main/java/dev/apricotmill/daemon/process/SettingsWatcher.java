package dev.apricotmill.daemon.process;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.node.relay.EventLog;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;

/**
 * Detects changes of the settings file, periodically and on a hang-up signal.
 *
 * <p>A node uses the settings that it read at its start. A changed file is validated and logged; it
 * takes effect at the next start.
 */
public final class SettingsWatcher {

  /** Reading the file is cheap: it is small and held in memory. */
  private static final Duration CHECK_PERIOD = Duration.ofSeconds(5);

  /** Checks a settings file. */
  @FunctionalInterface
  public interface SettingsFileCheck {
    /** Throws if the file cannot be read or lacks a required field. */
    void check(Path file) throws IOException;
  }

  private final Path file;
  private final SettingsFileCheck fileCheck;
  private final EventLog log;
  private byte[] lastContent = {};

  private SettingsWatcher(Path file, SettingsFileCheck fileCheck, EventLog log) {
    this.file = file;
    this.fileCheck = fileCheck;
    this.log = log;
  }

  /** Starts to watch {@code file}. */
  public static void start(Path file, SettingsFileCheck fileCheck, Timing timing, EventLog log) {
    SettingsWatcher watcher = new SettingsWatcher(file, fileCheck, log);
    watcher.check(false);
    SighupHandler.register(() -> timing.scheduler().execute(() -> watcher.check(true)));
    timing.scheduleRepeatedly(CHECK_PERIOD, () -> watcher.check(false));
  }

  private void check(boolean signalled) {
    try {
      byte[] content = Files.readAllBytes(file);
      boolean changed = lastContent.length > 0 && !Arrays.equals(lastContent, content);
      lastContent = content;
      if (changed || signalled) {
        fileCheck.check(file);
        log.write("settings.reloaded", ImmutableMap.of("signalled", signalled, "changed", changed));
      }
    } catch (IOException | IllegalArgumentException e) {
      log.write("settings.unreadable", ImmutableMap.of("reason", String.valueOf(e.getMessage())));
    }
  }
}
