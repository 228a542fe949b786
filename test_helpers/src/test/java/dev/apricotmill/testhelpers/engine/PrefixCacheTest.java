package dev.apricotmill.testhelpers.engine;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import dev.apricotmill.core.engine.CacheEvents;
import org.junit.jupiter.api.Test;

final class PrefixCacheTest {

  private static final String BLOCK = "c".repeat(PrefixCache.BLOCK_CHARACTERS);

  private final PrefixCache cache = new PrefixCache(4L * PrefixCache.BLOCK_TOKENS);

  @Test
  void theFirstBlockHasTheFingerprintOfItsText() {
    cache.touch(BLOCK + "rest");

    long expected = Hashing.farmHashFingerprint64().hashString(BLOCK, UTF_8).asLong();
    assertThat(cache.eventsAfter(0).events().get(0).prefix().hash()).isEqualTo(expected);
  }

  @Test
  void onlyLeadingBlocksThatAreCachedCount() {
    assertThat(cache.touch(BLOCK + BLOCK)).isEqualTo(0);
    assertThat(cache.touch(BLOCK + "d".repeat(PrefixCache.BLOCK_CHARACTERS)))
        .isEqualTo(PrefixCache.BLOCK_TOKENS);
    assertThat(cache.touch(BLOCK + BLOCK)).isEqualTo(2 * PrefixCache.BLOCK_TOKENS);
  }

  @Test
  void aFullCacheEvictsTheLeastRecentlyUsedBlockAndSaysSo() {
    for (char first = 'a'; first <= 'e'; first++) {
      cache.touch(String.valueOf(first).repeat(PrefixCache.BLOCK_CHARACTERS));
    }
    CacheEvents events = cache.eventsAfter(0);
    CacheEvents.Event last = events.events().get(events.events().size() - 1);

    assertThat(events.events()).hasSize(6);
    assertThat(last.stored()).isFalse();
    assertThat(last.prefix()).isEqualTo(events.events().get(0).prefix());
  }

  @Test
  void aReaderThatIsUpToDateSeesNoGap() {
    cache.touch(BLOCK);

    assertThat(cache.eventsAfter(1).events()).isEmpty();
    assertThat(cache.eventsAfter(1).gap()).isFalse();
    assertThat(cache.eventsAfter(9).gap()).isTrue();
  }
}
