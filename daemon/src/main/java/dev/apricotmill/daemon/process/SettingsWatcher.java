package dev.apricotmill.platform;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.daemon.process.SighupHandler;
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
final class SettingsWatcher {

  /** Reading the file is cheap: it is small and held in memory. */
  private static final Duration CHECK_PERIOD = Duration.ofSeconds(5);

  private final Path file;
  private final EventLog log;
  private byte[] lastContent = {};

  private SettingsWatcher(Path file, EventLog log) {
    this.file = file;
    this.log = log;
  }

  static void start(Path file, Timing timing, EventLog log) {
    SettingsWatcher watcher = new SettingsWatcher(file, log);
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
        NodeSettings.read(file, NodeSettings.DEFAULT_METRICS_PORT);
        log.write("settings.reloaded", ImmutableMap.of("signalled", signalled, "changed", changed));
      }
    } catch (IOException | IllegalArgumentException e) {
      log.write("settings.unreadable", ImmutableMap.of("reason", String.valueOf(e.getMessage())));
    }
  }
}
