package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

final class ColdShareTest {

  /** Guards against two lists of nodes that together exceed the bound. */
  @Test
  void allNodesOfTwoListsStayWithinTheBound() {
    for (int bound = 2; bound <= 200; bound++) {
      for (int firstCount = 1; firstCount <= 100; firstCount += 3) {
        for (int secondCount = 1; secondCount <= 100; secondCount += 7) {
          assertWithMessage("bound %s, %s and %s nodes", bound, firstCount, secondCount)
              .that(total(bound, firstCount) + total(bound, secondCount))
              .isAtMost(bound);
        }
      }
    }
  }

  /** Guards against shares that are rounded to nothing with many nodes. */
  @Test
  void twoFifthsOfTheBoundAreGivenOutWhateverTheNumberOfNodes() {
    for (int count = 1; count <= 600; count++) {
      assertWithMessage("%s nodes", count).that(total(32, count)).isEqualTo(12);
    }
  }

  private static int total(int bound, int nodeCount) {
    int total = 0;
    for (int rank = 0; rank < nodeCount; rank++) {
      total += ColdShare.requestsPerSecond(bound, rank, nodeCount);
    }
    return total;
  }
}
