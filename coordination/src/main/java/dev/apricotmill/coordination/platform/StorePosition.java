package dev.apricotmill.coordination.platform;

import java.util.Comparator;

/**
 * A point in the history of the store. Later points are greater.
 *
 * @param era how often the store was restored from an older copy before; its revisions go back then
 *     and are given out again
 * @param revision the store's revision in this era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

  /** Before everything that a store contains. */
  public static final StorePosition UNKNOWN = new StorePosition(0, -1);

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

  /** Returns the position at a revision of a store that was never restored. */
  public static StorePosition of(long revision) {
    return new StorePosition(0, revision);
  }

  /** Returns whether this point is earlier than another one. */
  public boolean isBefore(StorePosition other) {
    return compareTo(other) < 0;
  }

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }
}
