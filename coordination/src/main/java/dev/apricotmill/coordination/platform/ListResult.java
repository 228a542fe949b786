package dev.apricotmill.coordination.platform;

import com.google.common.collect.ImmutableList;

/** The answer to listing objects by prefix. */
public sealed interface ListResult {

  /**
   * The objects under the prefix, ordered by path.
   *
   * @param objects the objects with their values
   * @param revision the store's revision at which the list was true, to watch from
   */
  record Listed(ImmutableList<StoredObject> objects, long revision) implements ListResult {}

  /**
   * The platform gave no usable answer.
   *
   * @param failure why
   */
  record Unavailable(PlatformFailure failure) implements ListResult {}
}
