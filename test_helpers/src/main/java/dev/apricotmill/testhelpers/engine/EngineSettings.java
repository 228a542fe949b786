package dev.apricotmill.testhelpers.engine;

import dev.apricotmill.core.configuration.EngineProfile;
import java.time.Duration;

/**
 * How a stand-in engine behaves.
 *
 * @param profile memory and speed
 * @param fencing what it does with fencing numbers
 * @param loadLag how old a load report may be
 * @param loadingTime how long it takes to load a model or a version
 */
public record EngineSettings(
    EngineProfile profile, Fencing fencing, Duration loadLag, Duration loadingTime) {

  private static final Duration DEFAULT_LOAD_LAG = Duration.ofMillis(500);
  private static final Duration DEFAULT_LOADING_TIME = Duration.ofSeconds(2);

  /** What an engine does with an order that carries an old fencing number. */
  public enum Fencing {
    /** Refuses it. */
    CHECKED,
    /** Obeys it. */
    IGNORED
  }

  /** Returns the settings of an engine that checks fencing numbers. */
  public static EngineSettings of(EngineProfile profile) {
    return new EngineSettings(profile, Fencing.CHECKED, DEFAULT_LOAD_LAG, DEFAULT_LOADING_TIME);
  }
}
