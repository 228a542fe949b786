package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.relay.BackendServer;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against mistaken evacuations that nobody notices, and against a line for each list. */
final class EvacuationEffectsTest {

  private final ServingFixture serving = new ServingFixture(/* evacuationsFollowed= */ true);
  private final BackendServer[] servers = {
    ServingFixture.server(RelayFixture.POOL, 0, "a", 1),
    ServingFixture.server(RelayFixture.POOL, 1, "b", 1),
    ServingFixture.server(RelayFixture.DESK, 0, "a", 1),
    ServingFixture.server(RelayFixture.DESK, 1, "b", 1)
  };

  EvacuationEffectsTest() {
    serving.evacuate();
    serving.list(servers);
  }

  @Test
  void aServiceThatIsLeftWithoutServersIsLoggedOnceForEachEvacuation() {
    serving.evacuate("a");
    serving.evacuate("a", "b");
    serving.list(servers);
    serving.accept("/order/1", 1_000);
    serving.list(servers);
    assertThat(linesOf("evacuation.service_without_server")).hasSize(2);

    serving.evacuate("a");
    serving.evacuate("a", "b");

    assertThat(linesOf("evacuation.service_without_server")).hasSize(4);
  }

  @Test
  void aServiceWhoseLastServerElsewhereLeavesIsLoggedOnce() {
    serving.evacuate("a");
    serving.leave(servers[3]);
    serving.list(servers);

    assertThat(linesOf("evacuation.service_without_server"))
        .containsExactly("evacuation.service_without_server {service=desk, zones=[a]}");
  }

  @Test
  void aZoneWithoutServersIsLoggedOnceAndNoRequestIsLost() {
    serving.evacuate("nowhere");
    serving.list(servers);
    serving.evacuate("nowhere", "a");
    serving.list(servers);

    serving.accept("/order/1", 1_000);

    assertThat(linesOf("evacuation.zone_without_servers"))
        .containsExactly("evacuation.zone_without_servers {zone=nowhere}");
    assertThat(serving.servers()).containsExactly(servers[3].id());
  }

  @Test
  void anEvacuationWithServersElsewhereHasNoSuchLine() {
    serving.evacuate("a");
    serving.list(servers);

    assertThat(serving.evacuationLog()).containsExactly("evacuation.began {zone=a}");
  }

  private List<String> linesOf(String event) {
    return serving.evacuationLog().stream().filter(line -> line.startsWith(event + " ")).toList();
  }
}
