package dev.apricotmill.cli.configuration;

import dev.apricotmill.cli.command.Failure;
import dev.apricotmill.core.configuration.Configuration;
import java.util.Optional;

/** The answer to reading a configuration from the platform. */
public sealed interface StoredConfiguration {
  /**
   * The configuration was read; without a head, none was ever accepted.
   *
   * @param head who accepted it and when
   * @param configuration the configuration
   */
  record Present(Optional<HeadSummary> head, Configuration configuration)
      implements StoredConfiguration {}

  /**
   * The configuration can't be read.
   *
   * @param failure what to tell the operator
   */
  record Failed(Failure failure) implements StoredConfiguration {}
}
