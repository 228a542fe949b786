package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.follow.FollowListener;
import dev.apricotmill.coordination.follow.FollowSettings;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.platform.WriteResult;
import dev.apricotmill.coordination.time.Timing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps the blocked parts in the platform's object store, so that all nodes know them, also after a
 * restart. Operators unblock a part by deleting its object. Runs on the relay's executor.
 */
public final class BlockedPartDirectory implements FollowListener, BlockedParts.BlockListener {

  /** The key prefix of entries, without the slash. */
  public static final String KIND = "blocked_parts";

  /** With these, a part is known to all nodes within a second while the store can be reached. */
  public static final FollowSettings FOLLOW_SETTINGS =
      new FollowSettings(
          Duration.ofSeconds(8),
          Duration.ofMillis(1500),
          Duration.ofMillis(200),
          Duration.ofSeconds(2),
          Duration.ofMillis(100),
          Duration.ofSeconds(24));

  private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration WRITE_RETRY_DELAY = Duration.ofSeconds(1);

  /** The node that blames a part writes at once; others write if that node was lost. */
  private static final Duration SECONDARY_WRITE_DELAY = Duration.ofSeconds(2);

  private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.UTF_8);

  private final Platform platform;
  private final Timing timing;
  private final BlockedParts blockedParts;
  private final Map<String, Long> storedVersions = new HashMap<>();

  /** Creates a directory that writes what {@code blockedParts} learns. */
  public BlockedPartDirectory(Platform platform, Timing timing, BlockedParts blockedParts) {
    this.platform = platform;
    this.timing = timing;
    this.blockedParts = blockedParts;
    blockedParts.addListener(this);
  }

  @Override
  public void onSnapshot(ImmutableList<StoredObject> objects, ReadTimestamp readAt) {
    ImmutableSet<String> before = ImmutableSet.copyOf(storedVersions.keySet());
    storedVersions.clear();
    objects.forEach(this::apply);
    before.stream()
        .filter(part -> !storedVersions.containsKey(part))
        .forEach(blockedParts::unblock);
  }

  /** Writes the parts again that the copy lacks; no operator has deleted their objects. */
  @Override
  public void onStoreRestored(ImmutableList<StoredObject> objects, ReadTimestamp readAt) {
    storedVersions.clear();
    objects.forEach(this::apply);
    blockedParts.parts().stream()
        .filter(part -> !storedVersions.containsKey(part))
        .forEach(part -> timing.schedule(SECONDARY_WRITE_DELAY, () -> write(part)));
  }

  @Override
  public void onChanges(WatchResult.Changes changes, ReadTimestamp readAt) {
    changes.removed().stream()
        .map(BlockedPartDirectory::partOf)
        .forEach(
            part -> {
              storedVersions.remove(part);
              blockedParts.unblock(part);
            });
    changes.changed().forEach(this::apply);
  }

  @Override
  public void onUnavailable(PlatformFailure failure) {
    // The known parts stay blocked; the clients of the store report outages.
  }

  private void apply(StoredObject object) {
    String part = partOf(object.key());
    storedVersions.put(part, object.version());
    blockedParts.block(part, BlockedParts.Source.STORE);
  }

  @Override
  public void onBlocked(String part, BlockedParts.Source source) {
    switch (source) {
      case CRASHES -> write(part);
      case DISPATCHER, PEER -> timing.schedule(SECONDARY_WRITE_DELAY, () -> write(part));
      case STORE -> {}
    }
  }

  private void write(String part) {
    if (!blockedParts.contains(part) || storedVersions.containsKey(part)) {
      return;
    }
    platform
        .put(keyOf(part), EMPTY_OBJECT, Precondition.absent(), WRITE_TIMEOUT)
        .thenAccept(result -> timing.scheduler().execute(() -> onWritten(part, result)));
  }

  private void onWritten(String part, WriteResult result) {
    if (result instanceof WriteResult.Written written) {
      storedVersions.put(part, written.version());
    } else if (!(result instanceof WriteResult.Conflict)) {
      timing.schedule(WRITE_RETRY_DELAY, () -> write(part));
    }
  }

  @Override
  public void onExpired(String part) {
    Long version = storedVersions.get(part);
    if (version != null) {
      platform.delete(keyOf(part), Precondition.versionIs(version), WRITE_TIMEOUT);
    }
  }

  private static ObjectKey keyOf(String part) {
    return new ObjectKey(KIND + "/" + part);
  }

  private static String partOf(ObjectKey key) {
    return key.path().substring(KIND.length() + 1);
  }
}
