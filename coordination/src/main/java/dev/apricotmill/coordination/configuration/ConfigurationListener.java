package dev.apricotmill.coordination.configuration;

/** Receives each configuration that becomes the current one of this daemon. */
@FunctionalInterface
public interface ConfigurationListener {

  /** Called with each new current configuration, in ascending order of generation. */
  void onConfiguration(ConfigurationBundle configuration);
}
