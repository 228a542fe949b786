package dev.apricotmill.daemon.inner;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.protobuf.UnsafeByteOperations;
import dev.apricotmill.coordination.follow.FollowRequest;
import dev.apricotmill.coordination.follow.FollowResponse;
import dev.apricotmill.coordination.follow.PrefixUpdate;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.protocol.generated.AskFollowed;
import dev.apricotmill.protocol.generated.Followed;
import dev.apricotmill.protocol.generated.FollowedObject;
import dev.apricotmill.protocol.generated.FollowedPrefix;
import java.time.Duration;
import java.util.Optional;

/** Messages about what nodes know of the store, to and from the types of the product. */
final class FollowMessages {

  private FollowMessages() {}

  static AskFollowed message(FollowRequest question) {
    return AskFollowed.newBuilder()
        .putAllRevisions(question.revisions())
        .setWaitMillis(question.maxWait().toMillis())
        .build();
  }

  static FollowRequest question(AskFollowed message) {
    return new FollowRequest(
        ImmutableMap.copyOf(message.getRevisionsMap()), Duration.ofMillis(message.getWaitMillis()));
  }

  static Followed message(FollowResponse answer) {
    Followed.Builder message = Followed.newBuilder().setHeldNanos(answer.holdTime().toNanos());
    answer.prefixes().forEach((prefix, news) -> message.putPrefixes(prefix, message(news)));
    return message.build();
  }

  private static FollowedPrefix message(FollowResponse.PrefixState news) {
    PrefixUpdate update = news.update();
    FollowedPrefix.Builder message =
        FollowedPrefix.newBuilder().setRevision(update.revision()).setWhole(update.snapshot());
    update.changed().forEach(object -> message.addChanged(message(object)));
    update.removed().forEach(key -> message.addRemoved(key.path()));
    news.age().ifPresent(age -> message.setAgeNanos(age.toNanos()));
    return message.build();
  }

  private static FollowedObject message(StoredObject object) {
    return FollowedObject.newBuilder()
        .setKey(object.key().path())
        .setVersion(object.version())
        .setValue(UnsafeByteOperations.unsafeWrap(object.value()))
        .build();
  }

  static FollowResponse answer(Followed message) {
    ImmutableMap.Builder<String, FollowResponse.PrefixState> news = ImmutableMap.builder();
    message.getPrefixesMap().forEach((prefix, known) -> news.put(prefix, news(known)));
    return new FollowResponse(news.buildOrThrow(), Duration.ofNanos(message.getHeldNanos()));
  }

  private static FollowResponse.PrefixState news(FollowedPrefix message) {
    return new FollowResponse.PrefixState(
        new PrefixUpdate(
            message.getWhole(),
            message.getChangedList().stream()
                .map(FollowMessages::object)
                .collect(ImmutableList.toImmutableList()),
            message.getRemovedList().stream()
                .map(ObjectKey::new)
                .collect(ImmutableList.toImmutableList()),
            message.getRevision()),
        message.hasAgeNanos()
            ? Optional.of(Duration.ofNanos(message.getAgeNanos()))
            : Optional.empty());
  }

  private static StoredObject object(FollowedObject message) {
    return new StoredObject(
        new ObjectKey(message.getKey()), message.getVersion(), message.getValue().toByteArray());
  }
}
