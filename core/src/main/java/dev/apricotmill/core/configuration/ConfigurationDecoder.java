package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableMap;
import java.util.Map;

/**
 * Decodes one generation after another and reads only those customers' parts that changed.
 *
 * <p>The results are those of {@link ConfigurationCodec#decode}. Safe for use by several threads.
 */
public final class ConfigurationDecoder {
  private ImmutableMap<String, PartsDecoder.CustomerPart> cachedParts = ImmutableMap.of();

  /** Returns the configuration that the parts hold, with the generation of their head. */
  public synchronized DecodeResult decode(long generation, Map<String, byte[]> parts) {
    PartsDecoder decoding = new PartsDecoder(parts, cachedParts);
    DecodeResult result = decoding.decode(generation);
    if (result instanceof DecodeResult.Decoded) {
      cachedParts = decoding.decodedParts();
    }
    return result;
  }
}
