package dev.apricotmill.coordination.ledger;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.ReadResult;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Knows in which page of a shard each older key is found.
 *
 * <p>Only the index and the last page are kept in memory; another page is read when a repeated key
 * needs it. Used by one step of the shard at a time.
 */
final class ShardPages {

  private final Platform platform;
  private final String prefix;
  private final Duration callTimeout;
  private final Map<LedgerKey, String> pageOfKey = new HashMap<>();
  private final Set<String> indexed = new HashSet<>();
  private Optional<PageReference> last = Optional.empty();
  private ImmutableList<ClaimRecord> lastClaims = ImmutableList.of();

  ShardPages(Platform platform, String prefix, Duration callTimeout) {
    this.platform = platform;
    this.prefix = prefix;
    this.callTimeout = callTimeout;
  }

  ObjectKey objectKey(String pageName) {
    return new ObjectKey(prefix + pageName);
  }

  Optional<PageReference> last() {
    return last;
  }

  ImmutableList<ClaimRecord> lastClaims() {
    return lastClaims;
  }

  /** Takes over a sealing that stands, so that its page need not be read. */
  void replace(HeadSealing sealing) {
    keepOnly(sealing.head().pages());
    index(sealing.page(), sealing.claims());
  }

  /** Reads the pages that are not indexed yet; returns whether all could be read. */
  CompletionStage<Boolean> follow(ImmutableList<PageReference> references) {
    keepOnly(references);
    return readMissing(references.iterator());
  }

  /** Returns the claims of those keys that stand in pages. */
  CompletionStage<PagedClaims> find(ImmutableSet<LedgerKey> keys) {
    Map<String, Set<LedgerKey>> wanted = new HashMap<>();
    for (LedgerKey key : keys) {
      String page = pageOfKey.get(key);
      if (page != null) {
        wanted.computeIfAbsent(page, name -> new HashSet<>()).add(key);
      }
    }
    CompletionStage<PagedClaims> found =
        CompletableFuture.completedFuture(new PagedClaims(new HashMap<>(), new HashSet<>()));
    for (Map.Entry<String, Set<LedgerKey>> entry : wanted.entrySet()) {
      found =
          found.thenCombine(
              read(entry.getKey()), (claims, page) -> claims.with(entry.getValue(), page));
    }
    return found;
  }

  /**
   * Claims found in pages.
   *
   * @param claims the claims by key
   * @param unreadable keys whose page could not be read
   */
  record PagedClaims(Map<LedgerKey, ClaimRecord> claims, Set<LedgerKey> unreadable) {

    private PagedClaims with(Set<LedgerKey> keys, Optional<LedgerPage> page) {
      if (page.isEmpty()) {
        unreadable.addAll(keys);
      } else {
        for (ClaimRecord record : page.get().claims()) {
          if (keys.contains(record.ledgerKey())) {
            claims.put(record.ledgerKey(), record);
          }
        }
      }
      return this;
    }
  }

  private void keepOnly(ImmutableList<PageReference> references) {
    ImmutableSet<String> names =
        references.stream().map(PageReference::name).collect(ImmutableSet.toImmutableSet());
    if (indexed.retainAll(names)) {
      pageOfKey.values().removeIf(name -> !names.contains(name));
    }
    if (last.isPresent() && !names.contains(last.get().name())) {
      last = Optional.empty();
      lastClaims = ImmutableList.of();
    }
  }

  private CompletionStage<Boolean> readMissing(Iterator<PageReference> rest) {
    while (rest.hasNext()) {
      PageReference reference = rest.next();
      if (!indexed.contains(reference.name())) {
        return read(reference.name())
            .thenCompose(
                page -> {
                  if (page.isEmpty()) {
                    return CompletableFuture.completedFuture(false);
                  }
                  index(reference, page.get().claims());
                  return readMissing(rest);
                });
      }
    }
    return CompletableFuture.completedFuture(true);
  }

  private void index(PageReference reference, ImmutableList<ClaimRecord> claims) {
    indexed.add(reference.name());
    claims.forEach(record -> pageOfKey.put(record.ledgerKey(), reference.name()));
    last = Optional.of(reference);
    lastClaims = claims;
  }

  private CompletionStage<Optional<LedgerPage>> read(String name) {
    if (last.isPresent() && last.get().name().equals(name)) {
      return CompletableFuture.completedFuture(Optional.of(new LedgerPage(lastClaims)));
    }
    return platform
        .get(objectKey(name), callTimeout)
        .thenApply(
            result ->
                result instanceof ReadResult.Found found
                    ? LedgerCodec.decode(found.object().value(), LedgerPage.class)
                    : Optional.empty());
  }
}
