package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import dev.apricotmill.core.relay.ColdStart;
import dev.apricotmill.core.relay.ServiceProfile;
import dev.apricotmill.core.relay.ServingConfiguration;
import java.util.Optional;

/** Configurations for tests whose servers warm up. */
final class ColdConfiguration {

  private ColdConfiguration() {}

  /** Returns the usual configuration with servers that warm up as stated. */
  static ServingConfiguration of(Optional<ColdStart> coldStart) {
    ServingConfiguration base = RelayFixture.configuration(1);
    return new ServingConfiguration(
        base.version(),
        base.routes(),
        ImmutableMap.copyOf(
            Maps.transformValues(
                base.services(),
                service ->
                    new ServiceProfile(
                        service.name(),
                        service.maximumConnections(),
                        service.engine(),
                        coldStart))),
        base.customers(),
        base.keysRequired(),
        base.limits());
  }
}
