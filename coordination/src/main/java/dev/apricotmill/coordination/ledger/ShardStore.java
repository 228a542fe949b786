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
 * Reads and writes the objects of one shard, and keeps a copy of the version last seen. Used by one
 * step of the shard at a time.
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
  private Optional<KnownHead> known = Optional.empty();

  /** One version of the head. */
  record KnownHead(StoredObject object, LedgerHead head) {}

  /** A head to be written. */
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

  /** Returns the version last seen, empty if there is none to rely on. */
  Optional<KnownHead> known() {
    return known;
  }

  void forget() {
    known = Optional.empty();
  }

  /** Returns the claims of those keys that stand in pages of the known head. */
  CompletionStage<ShardPages.PagedClaims> findInPages(ImmutableSet<LedgerKey> keys) {
    return pages.find(keys);
  }

  /** Reads the head and its new pages; returns why that failed, empty if it did not. */
  CompletionStage<Optional<PlatformFailure>> read() {
    return writer
        .readOrCreate(headKey, LedgerCodec.encode(LedgerHead.empty()))
        .thenCompose(
            result ->
                result instanceof ReadResult.Found found
                    ? install(found.object())
                    : failure(result));
  }

  /** Takes over a version of the head and reads its new pages. */
  CompletionStage<Optional<PlatformFailure>> install(StoredObject object) {
    known = Optional.empty();
    Optional<LedgerHead> head = LedgerCodec.decode(object.value(), LedgerHead.class);
    if (head.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.of(PlatformFailure.MALFORMED_ANSWER));
    }
    return pages
        .follow(head.get().pages())
        .thenApply(
            complete -> {
              if (!complete) {
                return Optional.of(PlatformFailure.NO_ANSWER);
              }
              known = Optional.of(new KnownHead(object, head.get()));
              return Optional.empty();
            });
  }

  /** Replaces the claims of a version of the head; seals a page first if the head has grown. */
  CompletionStage<UpdateResult> update(KnownHead base, ImmutableList<ClaimRecord> claims) {
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
    if (next.encoded.length < settings.sealBytes()) {
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
    known = Optional.empty();
    if (result instanceof UpdateResult.Written written) {
      known = Optional.of(new KnownHead(written.object(), next.head));
      next.sealing.ifPresent(this::onSealed);
    } else if (result instanceof UpdateResult.VersionChanged moved) {
      next.sealing.ifPresent(sealing -> removeUnnamed(sealing, moved.current()));
    } else if (result instanceof UpdateResult.NotWritten) {
      next.sealing.ifPresent(sealing -> delete(sealing.page().name()));
    }
  }

  /** Deletes what the head does not name: the new page, or the old ones if the update stands. */
  private void removeUnnamed(HeadSealing sealing, StoredObject current) {
    LedgerCodec.decode(current.value(), LedgerHead.class)
        .ifPresent(
            head -> {
              if (head.pages().contains(sealing.page())) {
                sealing.removed().forEach(this::delete);
              } else if (head.nextPage() == sealing.head().nextPage() - 1) {
                delete(sealing.page().name());
              }
            });
  }

  private void onSealed(HeadSealing sealing) {
    pages.replace(sealing);
    sealing.removed().forEach(this::delete);
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
