package dev.apricotmill.testhelpers.engine;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import dev.apricotmill.core.engine.CacheEvents;
import dev.apricotmill.core.request.PrefixFingerprint;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers prefixes of prompts in blocks, least recently used out first, and publishes events.
 *
 * <p>The fingerprint of the first block is that which routing uses for prefix affinity. The
 * fingerprint of a later block covers the whole prefix up to its end.
 */
final class PrefixCache {

  /** The characters of one block. */
  static final int BLOCK_CHARACTERS = 1024;

  /** The tokens of one block. */
  static final int BLOCK_TOKENS = 256;

  private static final int KEPT_EVENTS = 4096;
  private static final HashFunction HASH = Hashing.farmHashFingerprint64();

  private final int capacityBlocks;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final List<CacheEvents.Event> events = new ArrayList<>();
  private long firstKeptSequence = 1;

  PrefixCache(long capacityTokens) {
    this.capacityBlocks = (int) Math.max(1, capacityTokens / BLOCK_TOKENS);
  }

  /** Stores the prefixes of a prompt and returns how many of its tokens were already cached. */
  long touch(String prompt) {
    long fingerprint = 0;
    long cachedBlocks = 0;
    boolean leading = true;
    int whole = prompt.length() / BLOCK_CHARACTERS;
    for (int block = 0; block < Math.min(whole, capacityBlocks); block++) {
      int start = block * BLOCK_CHARACTERS;
      fingerprint = next(fingerprint, prompt.substring(start, start + BLOCK_CHARACTERS));
      leading &= blocks.containsKey(fingerprint);
      cachedBlocks += leading ? 1 : 0;
      store(fingerprint);
    }
    return cachedBlocks * BLOCK_TOKENS;
  }

  private static long next(long before, String block) {
    Hasher hasher = HASH.newHasher();
    if (before != 0) {
      hasher.putLong(before);
    }
    long hash = hasher.putString(block, UTF_8).hash().asLong();
    return hash == 0 ? 1 : hash;
  }

  private void store(long fingerprint) {
    if (blocks.put(fingerprint, true) == null) {
      publish(fingerprint, true);
    }
    Iterator<Long> oldest = blocks.keySet().iterator();
    if (blocks.size() > capacityBlocks) {
      publish(oldest.next(), false);
      oldest.remove();
    }
  }

  private void publish(long fingerprint, boolean stored) {
    events.add(new CacheEvents.Event(new PrefixFingerprint(fingerprint), stored));
    if (events.size() > KEPT_EVENTS) {
      dropEvents(KEPT_EVENTS / 2);
    }
  }

  /** Forgets the oldest events, which readers then see as a gap. */
  void dropEvents(int count) {
    int dropped = Math.min(count, events.size());
    events.subList(0, dropped).clear();
    firstKeptSequence += dropped;
  }

  CacheEvents eventsAfter(long sequence) {
    long last = firstKeptSequence + events.size() - 1;
    boolean gap = sequence + 1 < firstKeptSequence || sequence > last;
    int from = gap ? 0 : (int) (sequence + 1 - firstKeptSequence);
    return new CacheEvents(ImmutableList.copyOf(events.subList(from, events.size())), last, gap);
  }
}
