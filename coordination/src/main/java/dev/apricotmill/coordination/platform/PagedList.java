package dev.apricotmill.coordination.platform;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Joins the pages of a list, and bounds them. Not thread-safe. */
public final class PagedList {

  /** The values of one list; a fleet's list has a few hundred of about a kilobyte. */
  private static final long MAX_BYTES = 16 << 20;

  private final List<StoredObject> objects = new ArrayList<>();
  private Optional<StorePosition> firstPosition = Optional.empty();
  private Optional<ObjectKey> lastKey = Optional.empty();
  private long bytes;

  /**
   * Adds the next page.
   *
   * @param position the position of the store that the page names
   * @param hasMore whether another page follows
   * @return the list, at the position of its first page, if it has ended; it is unavailable if the
   *     store was restored since the first page, if another page follows though this one ends where
   *     the one before did, or if it is too long
   */
  public Optional<ListResult> add(
      ImmutableList<StoredObject> page, StorePosition position, boolean hasMore) {
    StorePosition first = firstPosition.orElse(position);
    firstPosition = Optional.of(first);
    bytes += page.stream().mapToLong(object -> object.value().length).sum();
    objects.addAll(page);
    Optional<ObjectKey> previousLastKey = lastKey;
    if (!page.isEmpty()) {
      lastKey = Optional.of(page.get(page.size() - 1).key());
    }
    boolean expectsMore = hasMore && lastKey.isPresent();
    boolean repeats = expectsMore && lastKey.equals(previousLastKey);
    if (first.era() != position.era() || repeats || bytes > MAX_BYTES) {
      return Optional.of(new ListResult.Unavailable(PlatformFailure.INCOMPLETE_ANSWER));
    }
    return expectsMore
        ? Optional.empty()
        : Optional.of(new ListResult.Listed(ImmutableList.copyOf(objects), first));
  }

  /** Returns the key after which the next page begins; only for a list that has not ended. */
  public ObjectKey lastKey() {
    return lastKey.orElseThrow();
  }
}
