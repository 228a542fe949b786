package dev.apricotmill.daemon.callers;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.request.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ServicePathTest {

  @Test
  void thePathAndQueryBelowTheServiceAreKept() {
    assertThat(ServicePath.parse("/services/desk/orders/7?force=%2F&x=.."))
        .hasValue(new ServicePath(new ServiceName("desk"), "/orders/7?force=%2F&x=.."));
    assertThat(ServicePath.parse("/services/desk"))
        .hasValue(new ServicePath(new ServiceName("desk"), "/"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "/services/",
        "/services/a b/x",
        "/services/desk/status/../orders",
        "/services/desk/./orders",
        "/services/desk/..",
        "/services/desk//orders",
        "/services/desk/%6Frders",
        "/services/desk/status/%2E%2E/orders",
        "/services/desk/status%2Forders",
        "/services/desk/or%00ders",
        "/services/desk/orders%zz",
        "/services/desk/\\orders"
      })
  void aNonCanonicalPathIsRefused(String target) {
    assertThat(ServicePath.parse(target)).isEmpty();
  }
}
