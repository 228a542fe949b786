package dev.apricotmill.coordination.ledger;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.platform.ConditionalWriter;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.UpdateResult;
import dev.apricotmill.coordination.platform.WriteResult;
import dev.apricotmill.coordination.time.Timing;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

/**
 * Reads and writes the objects of one shard, and caches the version of the head last seen. Not
 * thread-safe: the shard makes one call at a time.
 */
final class ShardStore {

  private static final System.Logger LOGGER = System.getLogger(ShardStore.class.getName());

  private final Timing timing;
  private final Platform platform;
  private final LedgerSettings settings;
  private final RandomGenerator random;
  private final ConditionalWriter writer;
  private final ObjectKey headKey;
  private final ShardPages pages;
  private Optional<CachedHead> cachedHead = Optional.empty();

  /** One version of the head, as stored and decoded. */
  record CachedHead(StoredObject object, LedgerHead head) {}

  /** A head to be written, with the sealing that it results from, if any. */
  private static final class NextHead {

    private final LedgerHead head;
    private final byte[] encoded;
    private final Optional<HeadSealing> sealing;

    NextHead(LedgerHead head, Optional<HeadSealing> sealing) {
      this.head = head;
      this.encoded = LedgerCodec.encode(head);
      this.sealing = sealing;
    }
  }

  ShardStore(
      Timing timing,
      Platform platform,
      LedgerSettings settings,
      RandomGenerator random,
      String prefix) {
    this.timing = timing;
    this.platform = platform;
    this.settings = settings;
    this.random = random;
    this.writer = new ConditionalWriter(timing, platform, settings.writer(), random);
    this.headKey = new ObjectKey(prefix + "head");
    this.pages = new ShardPages(platform, prefix + "pages/", settings.writer().callTimeout());
  }

  /** Returns the head last seen, empty if it may have changed since or was never read. */
  Optional<CachedHead> cachedHead() {
    return cachedHead;
  }

  void invalidate() {
    cachedHead = Optional.empty();
  }

  /** Returns the claims of those keys that are in pages of the cached head. */
  CompletionStage<ShardPages.PagedClaims> findInPages(ImmutableSet<LedgerKey> keys) {
    return pages.find(keys);
  }

  /** Reads the head and its new pages; returns the failure, empty on success. */
  CompletionStage<Optional<PlatformFailure>> read() {
    return writer
        .readOrCreate(headKey, LedgerCodec.encode(LedgerHead.empty()))
        .thenCompose(
            result ->
                result instanceof ReadResult.Found found
                    ? install(found.object())
                    : failure(result));
  }

  /** Caches a version of the head after reading its new pages; returns the failure, if any. */
  CompletionStage<Optional<PlatformFailure>> install(StoredObject object) {
    cachedHead = Optional.empty();
    Optional<LedgerHead> head = LedgerCodec.decode(object.value(), LedgerHead.class);
    if (head.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.of(PlatformFailure.MALFORMED_ANSWER));
    }
    return pages
        .indexPages(head.get().pages())
        .thenApply(
            complete -> {
              if (!complete) {
                return Optional.of(PlatformFailure.NO_ANSWER);
              }
              cachedHead = Optional.of(new CachedHead(object, head.get()));
              return Optional.empty();
            });
  }

  /** Replaces the claims of a version of the head; moves claims to a page if the head is large. */
  CompletionStage<UpdateResult> update(CachedHead base, ImmutableList<ClaimRecord> claims) {
    LedgerHead old = base.head();
    LedgerHead next = new LedgerHead(old.floorMillis(), old.nextPage(), old.pages(), claims);
    return sealIfLarge(new NextHead(next, Optional.empty()))
        .thenCompose(
            head ->
                writer
                    .update(base.object(), head.encoded)
                    .thenApply(
                        result -> {
                          onUpdate(result, head);
                          return result;
                        }));
  }

  private CompletionStage<NextHead> sealIfLarge(NextHead next) {
    if (next.encoded.length < settings.headSealBytes()) {
      return CompletableFuture.completedFuture(next);
    }
    long nowMillis = timing.clock().instant().toEpochMilli();
    String suffix = Long.toHexString(random.nextLong());
    return HeadSealing.of(next.head, pages, settings, nowMillis, suffix)
        .map(sealing -> writePage(sealing, next))
        .orElseGet(() -> CompletableFuture.completedFuture(next));
  }

  private CompletionStage<NextHead> writePage(HeadSealing sealing, NextHead unsealed) {
    return platform
        .put(
            pages.objectKey(sealing.page().name()),
            LedgerCodec.encode(new LedgerPage(sealing.claims())),
            Precondition.absent(),
            settings.writer().callTimeout())
        .thenApply(
            result ->
                result instanceof WriteResult.Written
                    ? new NextHead(sealing.head(), Optional.of(sealing))
                    : unsealed);
  }

  private void onUpdate(UpdateResult result, NextHead next) {
    cachedHead = Optional.empty();
    if (result instanceof UpdateResult.Written written) {
      cachedHead = Optional.of(new CachedHead(written.object(), next.head));
      next.sealing.ifPresent(this::onSealed);
    } else if (result instanceof UpdateResult.VersionChanged moved) {
      next.sealing.ifPresent(sealing -> deleteUnreferenced(sealing, moved.current()));
    } else if (result instanceof UpdateResult.NotWritten) {
      next.sealing.ifPresent(sealing -> delete(sealing.page().name()));
    }
  }

  /**
   * Deletes the pages that the current head does not reference: the removed pages if the update
   * took effect, the new page if it can no longer do so.
   */
  private void deleteUnreferenced(HeadSealing sealing, StoredObject current) {
    LedgerCodec.decode(current.value(), LedgerHead.class)
        .ifPresent(
            head -> {
              if (head.pages().contains(sealing.page())) {
                sealing.removedPages().forEach(this::delete);
              } else if (head.nextPage() == sealing.head().nextPage() - 1) {
                delete(sealing.page().name());
              }
            });
  }

  private void onSealed(HeadSealing sealing) {
    pages.applySealing(sealing);
    sealing.removedPages().forEach(this::delete);
    LOGGER.log(
        System.Logger.Level.DEBUG, "ledger: {0} sealed page {1}", headKey, sealing.page().name());
  }

  private void delete(String pageName) {
    platform
        .get(pages.objectKey(pageName), settings.writer().callTimeout())
        .thenAccept(
            result -> {
              if (result instanceof ReadResult.Found found) {
                platform.delete(
                    found.object().key(),
                    Precondition.versionIs(found.object().version()),
                    settings.writer().callTimeout());
              }
            });
  }

  private static CompletionStage<Optional<PlatformFailure>> failure(ReadResult result) {
    return CompletableFuture.completedFuture(
        Optional.of(
            result instanceof ReadResult.Unavailable failed
                ? failed.failure()
                : PlatformFailure.MALFORMED_ANSWER));
  }
}
