package dev.apricotmill.daemon.inner;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.protobuf.UnsafeByteOperations;
import dev.apricotmill.coordination.follow.FollowRequest;
import dev.apricotmill.coordination.follow.FollowResponse;
import dev.apricotmill.coordination.follow.PrefixUpdate;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.StorePosition;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.protocol.generated.AskFollowed;
import dev.apricotmill.protocol.generated.Followed;
import dev.apricotmill.protocol.generated.FollowedObject;
import dev.apricotmill.protocol.generated.FollowedPrefix;
import java.time.Duration;
import java.util.Optional;

/** Maps requests for followed store content and their responses to messages and back. */
final class FollowMessages {

  private FollowMessages() {}

  static AskFollowed toMessage(FollowRequest request) {
    AskFollowed.Builder message =
        AskFollowed.newBuilder().setWaitMillis(request.maxWait().toMillis());
    request
        .positions()
        .forEach(
            (prefix, position) ->
                message.putRevisions(prefix, position.revision()).putEras(prefix, position.era()));
    return message.build();
  }

  static FollowRequest fromMessage(AskFollowed message) {
    ImmutableMap.Builder<String, StorePosition> positions = ImmutableMap.builder();
    message
        .getRevisionsMap()
        .forEach(
            (prefix, revision) ->
                positions.put(
                    prefix, new StorePosition(message.getErasOrDefault(prefix, 0), revision)));
    return new FollowRequest(positions.buildOrThrow(), Duration.ofMillis(message.getWaitMillis()));
  }

  static Followed toMessage(FollowResponse response) {
    Followed.Builder message = Followed.newBuilder().setHeldNanos(response.holdTime().toNanos());
    response.prefixes().forEach((prefix, state) -> message.putPrefixes(prefix, toMessage(state)));
    return message.build();
  }

  private static FollowedPrefix toMessage(FollowResponse.PrefixState state) {
    PrefixUpdate update = state.update();
    FollowedPrefix.Builder message =
        FollowedPrefix.newBuilder()
            .setEra(update.position().era())
            .setRevision(update.position().revision())
            .setWhole(update.snapshot());
    update.changed().forEach(object -> message.addChanged(toMessage(object)));
    update.removed().forEach(key -> message.addRemoved(key.path()));
    state.age().ifPresent(age -> message.setAgeNanos(age.toNanos()));
    return message.build();
  }

  private static FollowedObject toMessage(StoredObject object) {
    return FollowedObject.newBuilder()
        .setKey(object.key().path())
        .setVersion(object.version())
        .setValue(UnsafeByteOperations.unsafeWrap(object.value()))
        .build();
  }

  static FollowResponse fromMessage(Followed message) {
    ImmutableMap.Builder<String, FollowResponse.PrefixState> states = ImmutableMap.builder();
    message.getPrefixesMap().forEach((prefix, known) -> states.put(prefix, fromMessage(known)));
    return new FollowResponse(states.buildOrThrow(), Duration.ofNanos(message.getHeldNanos()));
  }

  private static FollowResponse.PrefixState fromMessage(FollowedPrefix message) {
    return new FollowResponse.PrefixState(
        new PrefixUpdate(
            message.getWhole(),
            message.getChangedList().stream()
                .map(FollowMessages::fromMessage)
                .collect(ImmutableList.toImmutableList()),
            message.getRemovedList().stream()
                .map(ObjectKey::new)
                .collect(ImmutableList.toImmutableList()),
            new StorePosition(message.getEra(), message.getRevision())),
        message.hasAgeNanos()
            ? Optional.of(Duration.ofNanos(message.getAgeNanos()))
            : Optional.empty());
  }

  private static StoredObject fromMessage(FollowedObject message) {
    return new StoredObject(
        new ObjectKey(message.getKey()), message.getVersion(), message.getValue().toByteArray());
  }
}
