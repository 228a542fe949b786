package dev.apricotmill.core.steward;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.request.RequestId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class MemoryAccountTest {

  private static final long CAPACITY = 1_000;
  private static final long HEADROOM = 200;
  private static final RequestId FIRST = new RequestId("first");
  private static final RequestId SECOND = new RequestId("second");

  private final MemoryAccount account = new MemoryAccount(CAPACITY, HEADROOM);

  @Test
  void memoryIsReleasedExactlyOnce() {
    assertThat(account.reserve(FIRST, LengthClass.SHORT, 10)).isTrue();
    assertThat(account.release(FIRST)).isTrue();
    assertThat(account.release(FIRST)).isFalse();
    assertThat(account.reservedTokens()).isEqualTo(0);
  }

  @Test
  void longPromptsLeaveTheHeadroomToShortPrompts() {
    assertThat(account.reserve(FIRST, LengthClass.LONG, 500)).isTrue();
    assertThat(account.reserve(SECOND, LengthClass.LONG, 301)).isFalse();
    assertThat(account.reserve(SECOND, LengthClass.SHORT, 301)).isTrue();
  }

  @Test
  void aLongPromptAloneMayTakeTheHeadroom() {
    assertThat(account.reserve(FIRST, LengthClass.HUGE, CAPACITY)).isTrue();
  }

  @Test
  void aCorrectionGrowsOnlyIntoFreeMemory() {
    assertThat(account.reserve(FIRST, LengthClass.SHORT, 400)).isTrue();
    assertThat(account.reserve(SECOND, LengthClass.SHORT, 500)).isTrue();
    assertThat(account.correct(SECOND, 700)).isEqualTo(600);
    assertThat(account.correct(SECOND, 100)).isEqualTo(100);
    assertThat(account.freeTokens()).isEqualTo(500);
  }

  @Property(tries = 1_000, seed = "20261204")
  void theAccountIsNeverNegativeNorOverCapacityAndEndsAtZero(@ForAll("steps") List<Step> steps) {
    MemoryAccount tested = new MemoryAccount(CAPACITY, HEADROOM);
    Set<RequestId> held = new HashSet<>();
    for (Step step : steps) {
      boolean wasHeld = held.contains(step.request);
      switch (step.kind) {
        case RESERVE -> {
          boolean reserved = tested.reserve(step.request, step.lengthClass, step.tokens);
          assertThat(reserved && wasHeld).isFalse();
          if (reserved) {
            held.add(step.request);
          }
        }
        case CORRECT -> tested.correct(step.request, step.tokens);
        case RELEASE -> {
          assertThat(tested.release(step.request)).isEqualTo(wasHeld);
          held.remove(step.request);
        }
      }
      assertThat(tested.reservedTokens()).isAtLeast(0);
      assertThat(tested.reservedTokens()).isAtMost(CAPACITY);
      assertThat(tested.size()).isEqualTo(held.size());
    }
    held.forEach(tested::release);
    assertThat(tested.reservedTokens()).isEqualTo(0);
    assertThat(tested.fits(LengthClass.HUGE, CAPACITY)).isTrue();
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<RequestId> requests =
        Arbitraries.integers().between(0, 9).map(number -> new RequestId("request " + number));
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            requests,
            Arbitraries.of(LengthClass.class),
            Arbitraries.longs().between(0, CAPACITY + 1))
        .as(Step::new)
        .list()
        .ofMaxSize(60);
  }

  enum Kind {
    RESERVE,
    CORRECT,
    RELEASE
  }

  record Step(Kind kind, RequestId request, LengthClass lengthClass, long tokens) {}
}
