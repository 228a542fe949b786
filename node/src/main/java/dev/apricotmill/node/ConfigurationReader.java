package dev.apricotmill.node;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.configuration.ConfigurationBundle;
import dev.apricotmill.coordination.configuration.PartContent;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.ConfigurationDecoder;
import dev.apricotmill.core.configuration.DecodeResult;
import java.util.Map;
import java.util.Optional;

/**
 * Decodes configuration bundles incrementally: only parts that changed are decoded again. A bundle
 * that cannot be decoded is logged, and the current configuration stays in use.
 */
final class ConfigurationReader {

  private static final System.Logger LOGGER = System.getLogger(ConfigurationReader.class.getName());

  private final ConfigurationDecoder decoder = new ConfigurationDecoder();

  Optional<Configuration> read(ConfigurationBundle bundle) {
    ImmutableMap.Builder<String, byte[]> parts = ImmutableMap.builder();
    for (Map.Entry<String, PartContent> part : bundle.parts().entrySet()) {
      parts.put(part.getKey(), part.getValue().toByteArray());
    }
    DecodeResult result = decoder.decode(bundle.generation(), parts.buildOrThrow());
    if (result instanceof DecodeResult.Decoded decoded) {
      return Optional.of(decoded.configuration());
    }
    LOGGER.log(
        System.Logger.Level.ERROR,
        "configuration: generation {0} cannot be decoded, the one in force stays",
        bundle.generation());
    return Optional.empty();
  }
}
