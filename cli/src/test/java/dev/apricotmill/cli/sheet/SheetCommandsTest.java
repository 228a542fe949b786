package dev.apricotmill.cli.sheet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.cli.CommandLineHarness;
import dev.apricotmill.cli.ExampleFiles;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Machine;
import java.nio.file.Path;
import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SheetCommandsTest {
  private static final String SHEET = ExampleFiles.read("examples/faroleiro-sheet.csv");

  @TempDir private Path directory;
  private CommandLineHarness harness;
  private String sheet;

  @BeforeEach
  void applyConfiguration() {
    harness = new CommandLineHarness(directory);
    harness.platform().setMachines(entries());
    harness.time().advance(Duration.ofSeconds(1));
    harness.run("config", "apply", harness.file("file.json", ExampleFiles.CONFIGURATION));
    sheet = harness.file("sheet.csv", SHEET);
  }

  @Test
  void aGoodSheetIsCheckedWithoutAnyChange() {
    CommandLineHarness.Run run = harness.run("sheet", "check", sheet);

    assertThat(run.exitCode()).isEqualTo(ExitCode.OK);
    assertThat(run.out()).contains("good, would change 6 values");
    assertThat(harness.run("config", "history").out()).doesNotContain("sheet-");
  }

  @Test
  void aGoodSheetIsTaken() {
    CommandLineHarness.Run run = harness.run("sheet", "apply", sheet, "--author", "planning");

    assertThat(run.out()).contains("accepted as generation 2 by planning");
    assertThat(harness.run("sheet", "show").out())
        .contains("customer,council-officers,40,NORMAL,2,500000,20,,");
  }

  @Test
  void theShownSheetCanBeAppliedAndChangesNothing() {
    harness.run("sheet", "apply", sheet);

    String shown = harness.file("shown.csv", harness.run("sheet", "show").out());

    assertThat(harness.run("sheet", "apply", shown).out())
        .contains("generation 2 says the same already");
  }

  @Test
  void aBadSheetIsRefusedWholeWithEveryFault() {
    String bad =
        harness.file(
            "bad.csv", SHEET.replace("field-crews,120", "nobody,0").replace("13:30", "12:30"));

    CommandLineHarness.Run run = harness.run("sheet", "apply", bad);

    assertThat(run.exitCode()).isEqualTo(ExitCode.DATA);
    assertThat(run.out()).contains("line 2, column name: the customer is not in");
    assertThat(run.out()).contains("line 2, column weight: the number is out of range");
    assertThat(run.out()).contains("line 5, column until: the stop ends before it begins");
    assertThat(harness.run("config", "history").out()).doesNotContain("sheet-");
  }

  @Test
  void aSecondSheetOfTheDayIsAConflictThatShowsTheFirst() {
    harness.run("sheet", "apply", sheet, "--author", "planning");
    String second = harness.file("second.csv", SHEET.replace("field-crews,120", "field-crews,90"));

    CommandLineHarness.Run run = harness.run("sheet", "apply", second, "--author", "desk");

    assertThat(run.exitCode()).isEqualTo(ExitCode.CONFLICT);
    assertThat(run.out()).contains("the other change: generation 2 by planning");
    assertThat(harness.run("sheet", "apply", second, "--replace").exitCode())
        .isEqualTo(ExitCode.OK);
  }

  @Test
  void aSheetMadeFromAnOlderGenerationIsAConflict() {
    CommandLineHarness.Run run = harness.run("sheet", "apply", sheet, "--expect", "0");

    assertThat(run.exitCode()).isEqualTo(ExitCode.CONFLICT);
  }

  @Test
  void theDayIsThatOfTheDeployment() {
    // It is 06:00 in UTC on the day of the sheet, and still the day before in Honolulu.
    CommandLineHarness.Run run =
        harness.run("sheet", "check", sheet, "--time-zone", "Pacific/Honolulu");

    assertThat(run.out()).contains("the sheet is not of today");
  }

  @Test
  void withoutThePlatformOnlyTheFormIsChecked() {
    CommandLineHarness.Run run = harness.runIn(ImmutableMap.of(), "sheet", "check", sheet);

    assertThat(run.exitCode()).isEqualTo(ExitCode.OK);
    assertThat(run.out()).contains("the form is good");
  }

  private static ImmutableList<Machine> entries() {
    return IntStream.range(0, 6)
        .mapToObj(
            number ->
                new Machine(
                    "vm-entry-" + number,
                    Machine.Role.ENTRY,
                    new Zone("lisbon-" + (number % 3 + 1)),
                    "10.1.1." + number + ":7070",
                    Machine.State.LIVE))
        .collect(ImmutableList.toImmutableList());
  }
}
