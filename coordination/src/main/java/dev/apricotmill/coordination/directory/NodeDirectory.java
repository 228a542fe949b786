package dev.apricotmill.coordination.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.follow.FollowListener;
import dev.apricotmill.coordination.follow.FollowSettings;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.follow.SharedFollower;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.platform.WriteResult;
import dev.apricotmill.coordination.time.Timing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Maintains this node's entry in the platform's object store and follows the entries of other
 * nodes.
 *
 * <p>An entry stays when its node fails: it tells where a node may be reached, not that the node is
 * running.
 */
public final class NodeDirectory implements FollowListener {

  /** The key prefix of entries, without the slash. */
  public static final String KIND = "nodes";

  private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration WRITE_CHECK_DELAY = Duration.ofMillis(700);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Platform platform;
  private final Timing timing;
  private final Member self;
  private final DirectoryListener listener;
  private final NeighbourWatch neighbours;
  private final Map<ObjectKey, Member> members =
      new TreeMap<>((a, b) -> a.path().compareTo(b.path()));
  private final Map<ObjectKey, Long> versions = new HashMap<>();
  private boolean writeInProgress;
  private boolean entryWritten;
  private boolean conflictRetried;

  /**
   * Creates a directory that does nothing until it is started.
   *
   * @param prober probes whether another node is running
   */
  public NodeDirectory(
      Platform platform,
      Timing timing,
      Member self,
      NeighbourWatch.Prober prober,
      DirectoryListener listener) {
    this.platform = platform;
    this.timing = timing;
    this.self = self;
    this.listener = listener;
    neighbours = new NeighbourWatch(timing, self, prober, this::deleteEntry);
  }

  /** Writes this node's entry and starts to follow all entries through {@code follower}. */
  public void start(SharedFollower follower, FollowSettings settings) {
    timing.scheduler().execute(this::writeInitialEntry);
    follower.follow(KIND, settings, this);
    neighbours.start();
  }

  private void writeInitialEntry() {
    writeInProgress = true;
    writeEntry();
  }

  @Override
  public void onSnapshot(ImmutableList<StoredObject> objects, ReadTimestamp moment) {
    members.clear();
    versions.clear();
    objects.forEach(this::apply);
    onEntriesChanged();
  }

  @Override
  public void onChanges(WatchResult.Changes changes, ReadTimestamp moment) {
    changes.removed().forEach(this::dropEntry);
    changes.changed().forEach(this::apply);
    if (!changes.removed().isEmpty() || !changes.changed().isEmpty()) {
      onEntriesChanged();
    }
  }

  @Override
  public void onUnavailable(PlatformFailure failure) {
    // The known entries stay; the clients of the store report outages.
  }

  private void apply(StoredObject object) {
    versions.put(object.key(), object.version());
    decode(object)
        .ifPresentOrElse(m -> members.put(object.key(), m), () -> members.remove(object.key()));
  }

  private void dropEntry(ObjectKey key) {
    members.remove(key);
    versions.remove(key);
  }

  private void onEntriesChanged() {
    writeIfMissing();
    ImmutableList<Member> known = ImmutableList.copyOf(members.values());
    neighbours.updateMembers(known);
    listener.onNodes(known);
  }

  /**
   * Writes this node's entry if it is missing, also after another node has deleted it. An entry of
   * a later incarnation is replaced only until the first successful write; one of an earlier
   * incarnation is back after that if the store was restored from an older copy.
   */
  private void writeIfMissing() {
    Member entry = members.get(ownKey());
    boolean outdated =
        entry == null
            || (!entryWritten && !self.equals(entry))
            || entry.incarnation().number() < self.incarnation().number();
    if (!writeInProgress && outdated) {
      writeInProgress = true;
      writeEntry();
    }
  }

  /**
   * Deletes the entry of a node that is no longer running, unless the entry has changed since this
   * node read it. A failed deletion is not retried here, but when the node is reported again.
   */
  private void deleteEntry(Member member) {
    ObjectKey key = keyOf(member);
    Long version = versions.get(key);
    if (version != null && member.equals(members.get(key))) {
      platform
          .delete(key, Precondition.versionIs(version), WRITE_TIMEOUT)
          .thenAccept(
              result -> timing.scheduler().execute(() -> listener.onRemoval(member, result)));
    }
  }

  private void writeEntry() {
    byte[] value =
        JSON.createObjectNode()
            .put("address", self.address().toString())
            .put("zone", self.zone().name())
            .put("incarnation", self.incarnation().number())
            .put("capacity", self.capacity())
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    long expected = versions.getOrDefault(ownKey(), 0L);
    platform
        .put(ownKey(), value, Precondition.versionIs(expected), WRITE_TIMEOUT)
        .thenAccept(result -> timing.scheduler().execute(() -> onWritten(result)));
  }

  private void onWritten(WriteResult result) {
    if (result instanceof WriteResult.Conflict conflict) {
      versions.put(ownKey(), conflict.currentVersion());
      if (!conflictRetried) {
        // The entry of an earlier incarnation exists, which this node had not read yet.
        conflictRetried = true;
        writeEntry();
        return;
      }
    } else if (result instanceof WriteResult.Written written) {
      entryWritten = true;
      versions.put(ownKey(), written.version());
    }
    // By then the follower has seen the entry, even if the response to the write was lost.
    timing.schedule(
        WRITE_CHECK_DELAY,
        () -> {
          writeInProgress = false;
          writeIfMissing();
        });
  }

  private ObjectKey ownKey() {
    return keyOf(self);
  }

  private static ObjectKey keyOf(Member member) {
    return new ObjectKey(KIND + "/" + member.incarnation().daemon().name());
  }

  private static Optional<Member> decode(StoredObject object) {
    try {
      JsonNode json = JSON.readTree(object.value());
      String name = object.key().path().substring(KIND.length() + 1);
      return Optional.of(
          new Member(
              new Incarnation(new DaemonId(name), json.path("incarnation").asLong()),
              new Zone(json.path("zone").asText()),
              PeerAddress.parse(json.path("address").asText()),
              MemberState.ALIVE,
              json.path("capacity").asInt()));
    } catch (IOException | IllegalArgumentException e) {
      // A malformed entry is ignored.
      return Optional.empty();
    }
  }
}
