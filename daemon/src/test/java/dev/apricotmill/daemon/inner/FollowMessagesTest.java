package dev.apricotmill.daemon.inner;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.follow.FollowRequest;
import dev.apricotmill.coordination.follow.FollowResponse;
import dev.apricotmill.coordination.follow.PrefixUpdate;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.StorePosition;
import dev.apricotmill.coordination.platform.StoredObject;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class FollowMessagesTest {

  @Test
  void aRequestRoundTrips() {
    FollowRequest request =
        new FollowRequest(
            ImmutableMap.of("config", StorePosition.UNKNOWN, "servers", new StorePosition(3, 42)),
            Duration.ofMillis(800));

    assertThat(FollowMessages.fromMessage(FollowMessages.toMessage(request))).isEqualTo(request);
  }

  @Test
  void changesAndTheirAgeRoundTrip() {
    FollowResponse response =
        response(
            new PrefixUpdate(
                false,
                ImmutableList.of(new StoredObject(new ObjectKey("servers/a"), 7, new byte[] {1})),
                ImmutableList.of(new ObjectKey("servers/b")),
                42),
            Optional.of(Duration.ofNanos(1_234_567_890)));

    assertThat(FollowMessages.fromMessage(FollowMessages.toMessage(response))).isEqualTo(response);
  }

  @Test
  void aSnapshotOfUnknownAgeRoundTrips() {
    FollowResponse response =
        response(
            new PrefixUpdate(
                true, ImmutableList.of(), ImmutableList.of(), new StorePosition(3, 42)),
            Optional.empty());

    assertThat(FollowMessages.fromMessage(FollowMessages.toMessage(response))).isEqualTo(response);
  }

  private static FollowResponse response(PrefixUpdate update, Optional<Duration> age) {
    return new FollowResponse(
        ImmutableMap.of("servers", new FollowResponse.PrefixState(update, age)),
        Duration.ofNanos(987_654));
  }
}
