package dev.apricotmill.coordination.memory;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class BufferBudgetTest {

  private final BufferBudget budget = new BufferBudget(100);
  private final List<String> revoked = new ArrayList<>();

  @Test
  void accountsShareTheBudget() {
    BufferBudget.Account first = budget.open();
    BufferBudget.Account second = budget.open();

    assertThat(first.reserve(60)).isTrue();
    assertThat(second.reserve(41)).isFalse();
    assertThat(second.reserve(40)).isTrue();
    assertThat(budget.heldBytes()).isEqualTo(100);
  }

  @Test
  void theLargestAccountGivesWayToASmallerOne() {
    BufferBudget.Account small = revocable("small");
    BufferBudget.Account large = revocable("large");
    assertThat(small.reserve(30)).isTrue();
    assertThat(large.reserve(70)).isTrue();

    assertThat(small.reserve(10)).isTrue();

    assertThat(revoked).containsExactly("large");
    assertThat(large.reserve(1)).isFalse();
    assertThat(budget.heldBytes()).isEqualTo(40);
  }

  @Test
  void theLargestAccountItselfGetsNoMore() {
    BufferBudget.Account small = revocable("small");
    BufferBudget.Account large = revocable("large");
    assertThat(small.reserve(30)).isTrue();
    assertThat(large.reserve(70)).isTrue();

    assertThat(large.reserve(1)).isFalse();

    assertThat(revoked).isEmpty();
    assertThat(budget.heldBytes()).isEqualTo(100);
  }

  @Test
  void anAccountThatIsNotRevocableKeepsItsBytes() {
    BufferBudget.Account kept = budget.open();
    assertThat(kept.reserve(90)).isTrue();

    assertThat(revocable("other").reserve(20)).isFalse();

    assertThat(budget.heldBytes()).isEqualTo(90);
  }

  @Test
  void aClosedAccountReturnsItsBytesOnce() {
    BufferBudget.Account account = budget.open();
    assertThat(account.reserve(50)).isTrue();
    account.release(20);

    account.close();
    account.close();
    account.release(10);

    assertThat(account.reserve(1)).isFalse();
    assertThat(budget.heldBytes()).isEqualTo(0);
  }

  private BufferBudget.Account revocable(String name) {
    return budget.openRevocable(() -> revoked.add(name));
  }
}
