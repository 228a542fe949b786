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
 * Index of the pages of one shard: maps each key to the page that has its claim.
 *
 * <p>Only the index and the last indexed page are kept in memory. Another page is read when an
 * operation concerns a key in it. Not thread-safe: the shard makes one call at a time.
 */
final class ShardPages {

  private final Platform platform;
  private final String prefix;
  private final Duration callTimeout;
  private final Map<LedgerKey, String> pageByKey = new HashMap<>();
  private final Set<String> indexedPages = new HashSet<>();
  private Optional<PageReference> lastIndexed = Optional.empty();
  private ImmutableList<ClaimRecord> lastIndexedClaims = ImmutableList.of();

  ShardPages(Platform platform, String prefix, Duration callTimeout) {
    this.platform = platform;
    this.prefix = prefix;
    this.callTimeout = callTimeout;
  }

  ObjectKey objectKey(String pageName) {
    return new ObjectKey(prefix + pageName);
  }

  Optional<PageReference> lastIndexed() {
    return lastIndexed;
  }

  ImmutableList<ClaimRecord> lastIndexedClaims() {
    return lastIndexedClaims;
  }

  /** Updates the index after a sealing was written, without reading the new page. */
  void applySealing(HeadSealing sealing) {
    retainOnly(sealing.head().pages());
    index(sealing.page(), sealing.claims());
  }

  /**
   * Makes {@code references} the indexed pages and reads those that are not indexed yet; returns
   * whether all could be read.
   */
  CompletionStage<Boolean> indexPages(ImmutableList<PageReference> references) {
    retainOnly(references);
    return indexMissing(references.iterator());
  }

  /** Returns the claims of those keys that are in pages. */
  CompletionStage<PagedClaims> find(ImmutableSet<LedgerKey> keys) {
    Map<String, Set<LedgerKey>> keysByPage = new HashMap<>();
    for (LedgerKey key : keys) {
      String page = pageByKey.get(key);
      if (page != null) {
        keysByPage.computeIfAbsent(page, name -> new HashSet<>()).add(key);
      }
    }
    CompletionStage<PagedClaims> found =
        CompletableFuture.completedFuture(new PagedClaims(new HashMap<>(), new HashSet<>()));
    for (Map.Entry<String, Set<LedgerKey>> entry : keysByPage.entrySet()) {
      found =
          found.thenCombine(
              read(entry.getKey()), (claims, page) -> claims.addFrom(entry.getValue(), page));
    }
    return found;
  }

  /**
   * Claims found in pages. Both collections are modified while pages are read.
   *
   * @param claims the claims by key
   * @param unreadableKeys keys whose page could not be read
   */
  record PagedClaims(Map<LedgerKey, ClaimRecord> claims, Set<LedgerKey> unreadableKeys) {

    private PagedClaims addFrom(Set<LedgerKey> keys, Optional<LedgerPage> page) {
      if (page.isEmpty()) {
        unreadableKeys.addAll(keys);
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

  private void retainOnly(ImmutableList<PageReference> references) {
    ImmutableSet<String> names =
        references.stream().map(PageReference::name).collect(ImmutableSet.toImmutableSet());
    if (indexedPages.retainAll(names)) {
      pageByKey.values().removeIf(name -> !names.contains(name));
    }
    if (lastIndexed.isPresent() && !names.contains(lastIndexed.get().name())) {
      lastIndexed = Optional.empty();
      lastIndexedClaims = ImmutableList.of();
    }
  }

  private CompletionStage<Boolean> indexMissing(Iterator<PageReference> remaining) {
    while (remaining.hasNext()) {
      PageReference reference = remaining.next();
      if (!indexedPages.contains(reference.name())) {
        return read(reference.name())
            .thenCompose(
                page -> {
                  if (page.isEmpty()) {
                    return CompletableFuture.completedFuture(false);
                  }
                  index(reference, page.get().claims());
                  return indexMissing(remaining);
                });
      }
    }
    return CompletableFuture.completedFuture(true);
  }

  private void index(PageReference reference, ImmutableList<ClaimRecord> claims) {
    indexedPages.add(reference.name());
    claims.forEach(record -> pageByKey.put(record.ledgerKey(), reference.name()));
    lastIndexed = Optional.of(reference);
    lastIndexedClaims = claims;
  }

  private CompletionStage<Optional<LedgerPage>> read(String name) {
    if (lastIndexed.isPresent() && lastIndexed.get().name().equals(name)) {
      return CompletableFuture.completedFuture(Optional.of(new LedgerPage(lastIndexedClaims)));
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
