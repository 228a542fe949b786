package dev.apricotmill.coordination.ledger;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Instant;
import java.util.Locale;
import org.junit.jupiter.api.Test;

final class LedgerKeyTest {

  @Test
  void aVersion7UuidContainsItsCreationTime() {
    Instant created = Instant.parse("2026-11-20T06:00:00.123Z");
    LedgerKey key = TimestampedKeys.at(created, 7);
    assertThat(key.creationMillis()).hasValue(created.toEpochMilli());
    assertThat(new LedgerKey(key.text().toUpperCase(Locale.ROOT))).isEqualTo(key);
  }

  @Test
  void otherKeysAreOpaque() {
    assertThat(new LedgerKey("order-17").creationMillis()).isEmpty();
    assertThat(new LedgerKey("6f9619ff-8b86-4011-b42d-00c04fc964ff").creationMillis()).isEmpty();
    assertThat(new LedgerKey("1-1-1-1-1").creationMillis()).isEmpty();
    assertThat(new LedgerKey("z".repeat(36)).creationMillis()).isEmpty();
  }

  @Test
  void emptyAndOverlongKeysAreRefused() {
    assertThrows(IllegalArgumentException.class, () -> new LedgerKey(""));
    assertThrows(IllegalArgumentException.class, () -> new LedgerKey("k".repeat(201)));
  }
}
