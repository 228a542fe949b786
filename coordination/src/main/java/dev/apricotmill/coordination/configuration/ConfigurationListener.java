package dev.apricotmill.coordination.configuration;

/** Is told when a configuration comes into force at this daemon. */
@FunctionalInterface
public interface ConfigurationListener {

  /** Called with each configuration that comes into force, in growing generations. */
  void onConfiguration(ConfigurationBundle configuration);
}
