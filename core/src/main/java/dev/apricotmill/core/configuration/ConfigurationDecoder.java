package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableMap;
import java.util.Map;

/**
 * Decodes successive generations and decodes again only the customers' parts that changed.
 *
 * <p>The results equal those of {@link ConfigurationCodec#decode}. Thread-safe.
 */
public final class ConfigurationDecoder {
  private ImmutableMap<String, PartsDecoder.CustomerPart> cachedParts = ImmutableMap.of();

  /** Decodes the parts into a configuration with the given generation. */
  public synchronized DecodeResult decode(long generation, Map<String, byte[]> parts) {
    PartsDecoder partsDecoder = new PartsDecoder(parts, cachedParts);
    DecodeResult result = partsDecoder.decode(generation);
    if (result instanceof DecodeResult.Decoded) {
      cachedParts = partsDecoder.decodedParts();
    }
    return result;
  }
}
