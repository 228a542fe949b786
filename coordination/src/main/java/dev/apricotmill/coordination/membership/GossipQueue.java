package dev.apricotmill.coordination.membership;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A queue of values to gossip along with the probes, each a limited number of times.
 *
 * <p>The limit grows with the logarithm of the number of members, which reaches all of them with
 * high probability. The periodic anti-entropy exchange covers the rest.
 */
final class GossipQueue<K, V> {

  private static final int TRANSMITS_PER_DOUBLING = 3;

  private final Map<K, Entry<V>> entries = new LinkedHashMap<>();

  /** Returns how often a value is sent among {@code members} members. */
  static int transmitLimit(int members) {
    int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, members));
    return TRANSMITS_PER_DOUBLING * doublings;
  }

  void add(K key, V value, int transmits) {
    entries.put(key, new Entry<>(value, transmits));
  }

  void clear() {
    entries.clear();
  }

  /**
   * Returns up to {@code limit} values, those with the most transmissions left first, and counts
   * them as sent.
   */
  ImmutableList<V> take(int limit) {
    ImmutableList<Map.Entry<K, Entry<V>>> chosen =
        entries.entrySet().stream()
            .sorted(Comparator.comparingInt(entry -> -entry.getValue().remaining))
            .limit(limit)
            .collect(ImmutableList.toImmutableList());
    ImmutableList.Builder<V> values = ImmutableList.builder();
    for (Map.Entry<K, Entry<V>> entry : chosen) {
      values.add(entry.getValue().value);
      entry.getValue().remaining--;
      if (entry.getValue().remaining <= 0) {
        entries.remove(entry.getKey());
      }
    }
    return values.build();
  }

  private static final class Entry<V> {

    private final V value;
    private int remaining;

    Entry(V value, int remaining) {
      this.value = value;
      this.remaining = remaining;
    }
  }
}
