package dev.apricotmill.coordination.directory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.follow.FollowListener;
import dev.apricotmill.coordination.follow.FollowSettings;
import dev.apricotmill.coordination.follow.PrefixFollower;
import dev.apricotmill.coordination.follow.ReadMoment;
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
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Keeps this node's entry in the platform's store and learns of the entries of others.
 *
 * <p>An entry stays when its node dies: it says where a node may be, not that it lives.
 */
public final class NodeDirectory implements FollowListener {

  /** The kind of object that entries are. */
  public static final String KIND = "nodes";

  private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration WRITE_AGAIN = Duration.ofMillis(700);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Platform platform;
  private final Timing timing;
  private final Member self;
  private final Consumer<ImmutableList<Member>> onChange;
  private final Map<ObjectKey, Member> members =
      new TreeMap<>((a, b) -> a.path().compareTo(b.path()));
  private long ownVersion;
  private boolean written;

  /**
   * Creates a directory that does nothing until it is started.
   *
   * @param onChange learns of all nodes with an entry after each change
   */
  public NodeDirectory(
      Platform platform, Timing timing, Member self, Consumer<ImmutableList<Member>> onChange) {
    this.platform = platform;
    this.timing = timing;
    this.self = self;
    this.onChange = onChange;
  }

  /** Begins to follow the entries; the node's own is written once the store has been read. */
  public void start(FollowSettings settings) {
    new PrefixFollower(platform, timing, KIND, settings, this).start();
  }

  @Override
  public void onContent(ImmutableList<StoredObject> objects, ReadMoment moment) {
    members.clear();
    objects.forEach(this::take);
    changed();
  }

  @Override
  public void onChanges(WatchResult.Changes changes, ReadMoment moment) {
    changes.removed().forEach(members::remove);
    changes.changed().forEach(this::take);
    if (!changes.removed().isEmpty() || !changes.changed().isEmpty()) {
      changed();
    }
  }

  @Override
  public void onUnavailable(PlatformFailure failure) {
    // The store's clients report outages; the entries that are known stay.
  }

  private void take(StoredObject object) {
    if (object.key().equals(ownKey())) {
      ownVersion = object.version();
    }
    read(object)
        .ifPresentOrElse(m -> members.put(object.key(), m), () -> members.remove(object.key()));
  }

  private void changed() {
    if (!self.equals(members.get(ownKey())) && !written) {
      write();
    }
    onChange.accept(ImmutableList.copyOf(members.values()));
  }

  private void write() {
    written = true;
    byte[] value =
        JSON.createObjectNode()
            .put("address", self.address().toString())
            .put("zone", self.zone().name())
            .put("incarnation", self.incarnation().number())
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    long expected = members.containsKey(ownKey()) ? ownVersion : 0;
    platform
        .put(ownKey(), value, Precondition.versionIs(expected), WRITE_TIMEOUT)
        .thenAccept(result -> timing.scheduler().execute(() -> onWritten(result)));
  }

  private void onWritten(WriteResult result) {
    if (result instanceof WriteResult.Conflict conflict) {
      ownVersion = conflict.currentVersion();
    }
    if (!(result instanceof WriteResult.Written)) {
      // A lost answer shows in the watch; otherwise the entry is written again.
      timing.schedule(WRITE_AGAIN, this::writeAgain);
    }
  }

  private void writeAgain() {
    written = false;
    if (!self.equals(members.get(ownKey()))) {
      write();
    }
  }

  private ObjectKey ownKey() {
    return new ObjectKey(KIND + "/" + self.incarnation().daemon().name());
  }

  private static Optional<Member> read(StoredObject object) {
    try {
      JsonNode json = JSON.readTree(object.value());
      String name = object.key().path().substring(KIND.length() + 1);
      return Optional.of(
          new Member(
              new Incarnation(new DaemonId(name), json.path("incarnation").asLong()),
              new Zone(json.path("zone").asText()),
              PeerAddress.parse(json.path("address").asText()),
              MemberState.ALIVE));
    } catch (IOException | IllegalArgumentException e) {
      // An entry that cannot be read names no node.
      return Optional.empty();
    }
  }
}
