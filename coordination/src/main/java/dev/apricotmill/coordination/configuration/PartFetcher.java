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
 * Collects the parts of a head that this daemon does not hold, from a peer if one is known to have
 * them, else from the platform.
 *
 * <p>Parts of an interrupted collection are kept for the next one.
 */
final class PartFetcher {

  private final Platform platform;
  private final PeerProbes peers;
  private final FollowerSettings settings;
  private final Map<String, PartContent> held = new ConcurrentHashMap<>();

  PartFetcher(Platform platform, PeerProbes peers, FollowerSettings settings) {
    this.platform = platform;
    this.peers = peers;
    this.settings = settings;
  }

  /** Returns the whole configuration, empty if a part cannot be had now. */
  CompletionStage<Optional<ConfigurationBundle>> collect(
      ConfigurationHead head, Optional<PeerAddress> source) {
    return collectNext(head, source, head.parts().iterator(), ImmutableMap.builder());
  }

  /** Forgets the parts of all other configurations. */
  void keepOnly(ConfigurationBundle bundle) {
    for (PartContent part : bundle.parts().values()) {
      held.put(part.sha256(), part);
    }
    held.values().retainAll(bundle.parts().values());
  }

  Optional<PartContent> held(String sha256) {
    return Optional.ofNullable(held.get(sha256));
  }

  private CompletionStage<Optional<ConfigurationBundle>> collectNext(
      ConfigurationHead head,
      Optional<PeerAddress> source,
      Iterator<ConfigurationPart> rest,
      ImmutableMap.Builder<String, PartContent> collected) {
    while (rest.hasNext()) {
      ConfigurationPart part = rest.next();
      PartContent known = held.get(part.sha256());
      if (known == null) {
        return fetch(part.sha256(), source)
            .thenCompose(
                content -> {
                  if (content.isEmpty()) {
                    return CompletableFuture.completedFuture(Optional.empty());
                  }
                  held.put(part.sha256(), content.get());
                  collected.put(part.name(), content.get());
                  return collectNext(head, source, rest, collected);
                });
      }
      collected.put(part.name(), known);
    }
    return CompletableFuture.completedFuture(
        Optional.of(new ConfigurationBundle(head, collected.buildOrThrow())));
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
                      ? verified(fetched.value(), sha256)
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
                    ? verified(found.object().value(), sha256)
                    : Optional.empty());
  }

  private static Optional<PartContent> verified(byte[] bytes, String sha256) {
    PartContent content = PartContent.copyOf(bytes);
    return content.sha256().equals(sha256) ? Optional.of(content) : Optional.empty();
  }
}
