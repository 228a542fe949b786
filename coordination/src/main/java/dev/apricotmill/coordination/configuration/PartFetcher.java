package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.PeerProbes;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.ReadResult;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Fetches the parts of a head that are not cached, from a peer if one is known to have them, else
 * from the platform.
 *
 * <p>A part that a peer does not return, or returns damaged, is fetched from the platform. If a
 * fetch fails halfway, the parts fetched so far stay cached for the next attempt.
 */
final class PartFetcher {

  private final Platform platform;
  private final PeerProbes peers;
  private final FollowerSettings settings;
  private final Map<String, PartContent> cachedParts = new ConcurrentHashMap<>();

  PartFetcher(Platform platform, PeerProbes peers, FollowerSettings settings) {
    this.platform = platform;
    this.peers = peers;
    this.settings = settings;
  }

  /** Returns the complete configuration, empty if a part cannot be fetched. */
  CompletionStage<Optional<ConfigurationBundle>> fetchBundle(
      ConfigurationHead head, Optional<PeerAddress> source) {
    return fetchRemaining(head, source, head.parts().iterator(), ImmutableMap.builder());
  }

  /** Caches the parts of {@code bundle} and drops all others. */
  void retainOnly(ConfigurationBundle bundle) {
    for (PartContent part : bundle.parts().values()) {
      cachedParts.put(part.sha256(), part);
    }
    cachedParts.values().retainAll(bundle.parts().values());
  }

  Optional<PartContent> cachedPart(String sha256) {
    return Optional.ofNullable(cachedParts.get(sha256));
  }

  private CompletionStage<Optional<ConfigurationBundle>> fetchRemaining(
      ConfigurationHead head,
      Optional<PeerAddress> source,
      Iterator<ConfigurationPart> remaining,
      ImmutableMap.Builder<String, PartContent> parts) {
    while (remaining.hasNext()) {
      ConfigurationPart part = remaining.next();
      PartContent cached = cachedParts.get(part.sha256());
      if (cached == null) {
        return fetch(part.sha256(), source)
            .thenCompose(
                content -> {
                  if (content.isEmpty()) {
                    return CompletableFuture.completedFuture(Optional.empty());
                  }
                  cachedParts.put(part.sha256(), content.get());
                  parts.put(part.name(), content.get());
                  return fetchRemaining(head, source, remaining, parts);
                });
      }
      parts.put(part.name(), cached);
    }
    return CompletableFuture.completedFuture(
        Optional.of(new ConfigurationBundle(head, parts.buildOrThrow())));
  }

  private CompletionStage<Optional<PartContent>> fetch(
      String sha256, Optional<PeerAddress> source) {
    if (source.isEmpty()) {
      return fetchFromPlatform(sha256);
    }
    return peers
        .fetch(source.get(), sha256, settings.fetchTimeout())
        .thenCompose(
            result -> {
              Optional<PartContent> content =
                  result instanceof FetchResult.Fetched fetched
                      ? verify(fetched.value(), sha256)
                      : Optional.empty();
              return content.isPresent()
                  ? CompletableFuture.completedFuture(content)
                  : fetchFromPlatform(sha256);
            });
  }

  private CompletionStage<Optional<PartContent>> fetchFromPlatform(String sha256) {
    return platform
        .get(ConfigurationKeys.part(sha256), settings.callTimeout())
        .thenApply(
            result ->
                result instanceof ReadResult.Found found
                    ? verify(found.object().value(), sha256)
                    : Optional.empty());
  }

  private static Optional<PartContent> verify(byte[] bytes, String sha256) {
    PartContent content = PartContent.copyOf(bytes);
    return content.sha256().equals(sha256) ? Optional.of(content) : Optional.empty();
  }
}
