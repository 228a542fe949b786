package dev.apricotmill.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.CheckResult;
import dev.apricotmill.core.configuration.ConfigurationFile;
import dev.apricotmill.core.sheet.SheetApplier;
import dev.apricotmill.core.sheet.SheetFault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class DocumentedExamplesTest {

  @ParameterizedTest
  @ValueSource(strings = {"examples/faroleiro.json", "examples/kmetic-zupan.json"})
  void theExampleConfigurationsAreGoodWithoutAWarning(String name) {
    CheckResult result =
        ConfigurationFile.check(ExampleFiles.read(name).getBytes(UTF_8), ImmutableList.of());

    assertThat(result).isInstanceOf(CheckResult.Valid.class);
    assertThat(((CheckResult.Valid) result).warnings()).isEmpty();
    assertThat(ExampleFiles.read("CONFIGURATION.md")).contains("(" + name + ")");
  }

  @ParameterizedTest
  @ValueSource(strings = {"examples/faroleiro-sheet.csv", "examples/kmetic-zupan-sheet.csv"})
  void theExampleSheetsAreGoodAndStandOnThePage(String name) {
    String sheet = ExampleFiles.read(name);

    assertThat(SheetApplier.checkFormat(sheet.getBytes(UTF_8))).isEmpty();
    assertThat(ExampleFiles.read("SHEET.md")).contains("```csv\n" + sheet + "```");
  }

  @ParameterizedTest
  @EnumSource(SheetFault.Kind.class)
  void everyFaultOfASheetStandsOnThePage(SheetFault.Kind kind) {
    assertThat(ExampleFiles.read("SHEET.md")).contains("`" + kind + "`");
  }
}
