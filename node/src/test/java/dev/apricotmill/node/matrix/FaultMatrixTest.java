package dev.apricotmill.node.matrix;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

@Execution(ExecutionMode.CONCURRENT)
class FaultMatrixTest {

  private static final long SEED = 7;
  private static final MatrixTable TABLE = new MatrixTable(KnownRed.read());

  @TestFactory
  Stream<DynamicTest> everyFaultAtEveryStep() {
    return Stream.of(Step.values())
        .flatMap(step -> Stream.of(InjectedFault.values()).map(fault -> cell(step, fault)))
        .map(this::test);
  }

  @TestFactory
  Stream<DynamicTest> chosenPairsOfFaultsTogether() {
    return Stream.of(Step.values())
        .flatMap(step -> ChosenPairs.all().stream().map(pair -> new Cell(step, pair, SEED)))
        .map(this::test);
  }

  @AfterAll
  static void printTable() {
    TABLE.print();
  }

  private static Cell cell(Step step, InjectedFault fault) {
    return new Cell(step, ImmutableList.of(fault), SEED);
  }

  private DynamicTest test(Cell cell) {
    return DynamicTest.dynamicTest(cell.name(), () -> run(cell));
  }

  private static void run(Cell cell) {
    if (cell.impossibleReason().isPresent()) {
      TABLE.recordImpossible(cell);
      return;
    }
    ImmutableList<Violation> violations = cell.run();
    if (TABLE.isKnownRed(cell)) {
      TABLE.recordRed(cell, violations);
      assertWithMessage("%s is listed as red but passes", cell.name())
          .that(violations)
          .isNotEmpty();
      return;
    }
    if (violations.isEmpty()) {
      TABLE.recordPassed(cell);
    }
    assertWithMessage(cell.name()).that(violations).isEmpty();
  }
}
