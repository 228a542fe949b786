package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import org.junit.jupiter.api.Test;

/** Guards against a caller that gets the events of a stream twice, from two servers. */
final class StreamWithoutEventIdsTest {

  private final RelayFixture relay = new RelayFixture(/* retryReserve= */ 20);

  @Test
  void aStreamIsNotBegunAgainAfterAnEventWithoutAnId() {
    RecordedCaller caller = relay.accept("/stream/1");
    relay.last().head(200, false);
    relay.last().body("data: a\n\n");
    relay.last().fail(true);

    for (RelayFixture.SentExchange second : relay.sent().subList(1, relay.sent().size())) {
      second.head(200, false);
      second.body("data: a\n\ndata: b\n\n");
      second.end();
    }

    assertThat(caller.body()).isEqualTo("data: a\n\n");
    assertThat(caller.aborted()).isTrue();
  }
}
