package dev.apricotmill.core.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RouteTableTest {

  private static final ServiceName OLD = new ServiceName("old");
  private static final ServiceName NEW = new ServiceName("new");

  @Test
  void theLongestPrefixOfThePathWins() {
    RouteTable table = new RouteTable(ImmutableList.of(route("a", "/x/"), route("b", "/x/y/")));

    assertThat(table.find("host", "/x/y/z").map(Route::name)).hasValue("b");
    assertThat(table.find("host", "/x/yy").map(Route::name)).hasValue("a");
  }

  @Test
  void aQueryIsNotPartOfThePath() {
    RouteTable table = new RouteTable(ImmutableList.of(route("a", "/x/")));

    assertThat(table.find("host", "/?/x/")).isEmpty();
    assertThat(table.find("host", "/x/?q=1").map(Route::name)).hasValue("a");
  }

  @Test
  void anotherHostHasNoRoute() {
    RouteTable table = new RouteTable(ImmutableList.of(route("a", "/x/")));

    assertThat(table.find("other", "/x/")).isEmpty();
  }

  @Test
  void servicesGetTheirShareOfTheRequests() {
    Route route = route("a", "/x/");

    assertThat(route.serviceAt(0.0)).hasValue(OLD);
    assertThat(route.serviceAt(0.89)).hasValue(OLD);
    assertThat(route.serviceAt(0.91)).hasValue(NEW);
  }

  private static Route route(String name, String prefix) {
    return new Route(
        name,
        "host",
        prefix,
        Route.ResponseKind.WHOLE,
        RetryPolicy.AT_MOST_ONCE,
        Duration.ofSeconds(1),
        Duration.ofMillis(100),
        Optional.empty(),
        1,
        1,
        false,
        ImmutableList.of(new WeightedService(OLD, 90), new WeightedService(NEW, 10)));
  }
}
