package dev.apricotmill.node.call;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.configuration.KeyPolicy;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.ServiceName;
import org.junit.jupiter.api.Test;

class ScopedKeyTest {

  private static final CustomerId CUSTOMER = new CustomerId("one");
  private static final CustomerId OTHER_CUSTOMER = new CustomerId("other");
  private static final ServiceName SERVICE = new ServiceName("orders");
  private static final String TIMED_KEY = "01932f6e-6f00-7abc-8def-0123456789ab";

  @Test
  void aTimedKeyKeepsItsCreationTime() {
    var scoped = ScopedKey.of(CUSTOMER, SERVICE, KeyPolicy.Form.TIMED, TIMED_KEY).orElseThrow();
    assertThat(scoped.creationMillis()).hasValue(0x01932f6e6f00L);
  }

  @Test
  void theSameKeyOfTwoCustomersGivesDifferentLedgerKeys() {
    for (KeyPolicy.Form form : KeyPolicy.Form.values()) {
      assertThat(ScopedKey.of(CUSTOMER, SERVICE, form, TIMED_KEY))
          .isNotEqualTo(ScopedKey.of(OTHER_CUSTOMER, SERVICE, form, TIMED_KEY));
    }
  }

  @Test
  void aKeyWithoutACreationTimeIsRefusedWhereOneIsRequired() {
    assertThat(ScopedKey.of(CUSTOMER, SERVICE, KeyPolicy.Form.TIMED, "order-17")).isEmpty();
    assertThat(
            ScopedKey.of(
                CUSTOMER, SERVICE, KeyPolicy.Form.TIMED, "01932f6e-6f00-4abc-8def-0123456789ab"))
        .isEmpty();
  }

  @Test
  void anOverlongKeyIsRefused() {
    assertThat(ScopedKey.of(CUSTOMER, SERVICE, KeyPolicy.Form.OPAQUE, "k".repeat(201))).isEmpty();
  }
}
