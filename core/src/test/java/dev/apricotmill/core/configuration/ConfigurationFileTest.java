package dev.apricotmill.core.configuration;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import dev.apricotmill.core.request.CustomerId;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

class ConfigurationFileTest {
  private static final PlannedStop STOP =
      new PlannedStop(
          "vm-a", Instant.parse("2026-11-20T06:00:00Z"), Instant.parse("2026-11-20T07:00:00Z"));

  @Test
  void aValidFileIsAcceptedAndItsKeysAreHashed() {
    CheckResult.Valid valid = (CheckResult.Valid) check(ExampleFile.text());

    assertThat(valid.warnings()).isEmpty();
    assertThat(valid.configuration().customers().get(new CustomerId("crews")).keyHash())
        .isEqualTo(CustomerKey.hash("crews-key-0123456789"));
  }

  @Test
  void aRenderedFileReadsBackAsTheSameConfiguration() {
    Configuration original = ((CheckResult.Valid) check(ExampleFile.text())).configuration();

    assertThat(check(ConfigurationFile.render(original)))
        .isEqualTo(new CheckResult.Valid(original, ImmutableList.of()));
  }

  @Test
  void aFileWithoutPlannedStopsKeepsTheCurrentOnes() {
    CheckResult result =
        ConfigurationFile.check(ExampleFile.text().getBytes(UTF_8), ImmutableList.of(STOP));

    assertThat(((CheckResult.Valid) result).configuration().plannedStops()).containsExactly(STOP);
  }

  @Test
  void aFileWithAnEmptyListOfPlannedStopsRemovesThem() {
    String text = ExampleFile.withReplaced("\"rules\":", "\"plannedStops\": [], \"rules\":");

    CheckResult result = ConfigurationFile.check(text.getBytes(UTF_8), ImmutableList.of(STOP));

    assertThat(((CheckResult.Valid) result).configuration().plannedStops()).isEmpty();
  }

  @ParameterizedTest
  @CsvFileSource(resources = "faulty-files.csv", delimiter = '|', quoteCharacter = '\'')
  void aFaultIsReportedWithItsKindAndPointer(
      String replaced, String replacement, Kind kind, String pointer) {
    String text = ExampleFile.withReplaced(replaced, replacement == null ? "" : replacement);

    assertThat(kindsAndPointers(faults(check(text))))
        .contains(kind + " " + (pointer == null ? "" : pointer));
  }

  @Test
  void allFaultsAreReportedAtOnceWithTheirLines() {
    String text =
        ExampleFile.text()
            .replace("\"weight\": 10", "\"weight\": 0")
            .replace("\"priority\": \"LOW\"", "\"priority\": \"SLOW\"")
            .replace("\"address\": \"127.0.0.1:9001\"", "\"address\": \"post:9001\"");

    List<ConfigurationFault> faults = faults(check(text));

    assertThat(kindsAndPointers(faults))
        .containsExactly(
            "UNKNOWN_WORD /customers/1/priority",
            "OUT_OF_RANGE /customers/0/weight",
            "NOT_AN_IP_NUMBER /services/0/replicas/0/address");
    faults.forEach(fault -> assertThat(lineOf(text, fault)).contains(lastSegment(fault)));
  }

  @Test
  void aWarningDoesNotRejectTheFile() {
    CheckResult result = check(ExampleFile.withReplaced("\"AT_MOST_ONCE\"", "\"IDEMPOTENT\""));

    assertThat(kindsAndPointers(((CheckResult.Valid) result).warnings()))
        .containsExactly("UNSAFE_METHOD_IDEMPOTENT /rules/2/repetition");
  }

  @Test
  void anEarlierRuleThatConflictsWithALaterOneIsAWarning() {
    String text =
        ExampleFile.text()
            .replace("\"method\": \"GET\"", "\"method\": \"*\"")
            .replace("\"/status\"", "\"/orders/urgent\"");

    assertThat(kindsAndPointers(((CheckResult.Valid) check(text)).warnings()))
        .contains("OVERLAPPING_RULES /rules/2");
  }

  @Test
  void aServiceWithoutReplicasIsAFault() {
    String text = ExampleFile.text().replaceAll("(?s)\"replicas\": \\[.*?\\]", "\"replicas\": []");

    assertThat(kindsAndPointers(faults(check(text)))).contains("NO_REPLICA /services/1/replicas");
  }

  @Test
  void consecutiveStopsLeaveAReplica() {
    String text =
        ExampleFile.withReplaced(
            "\"rules\":",
            """
            "plannedStops": [
              {"machine": "vm-e1", "from": "2026-11-20T06:00:00Z", "until": "2026-11-20T07:00:00Z"},
              {"machine": "vm-e2", "from": "2026-11-20T07:00:00Z", "until": "2026-11-20T08:00:00Z"}
            ], "rules":\
            """);

    assertThat(check(text)).isInstanceOf(CheckResult.Valid.class);
  }

  @Test
  void aFileWithThirtyFiveThousandCustomersIsAccepted() {
    Configuration large = Configurations.withCustomers(35_000);

    assertThat(check(ConfigurationFile.render(large))).isInstanceOf(CheckResult.Valid.class);
  }

  @Test
  void moreRulesThanAllowedAreRefusedBeforeTheyAreCompared() {
    String rule = ExampleFile.text().replaceAll("(?s).*\"rules\": \\[\\s*(\\{.*?\\}).*", "$1,");
    String text = ExampleFile.withReplaced("\"rules\": [", "\"rules\": [" + rule.repeat(2_000));

    assertThat(kindsAndPointers(faults(check(text)))).containsExactly("TOO_MANY /rules");
  }

  @Test
  void noFaultContainsAKey() {
    String text = ExampleFile.withReplaced("crews-key-0123456789", "short-key");

    faults(check(text)).forEach(fault -> assertThat(fault.describe()).doesNotContain("short-key"));
  }

  private static CheckResult check(String text) {
    return ConfigurationFile.check(text.getBytes(UTF_8), ImmutableList.of());
  }

  private static List<ConfigurationFault> faults(CheckResult result) {
    return result instanceof CheckResult.Invalid invalid
        ? invalid.faults()
        : ((CheckResult.Valid) result).warnings();
  }

  private static List<String> kindsAndPointers(List<ConfigurationFault> faults) {
    return faults.stream().map(fault -> fault.kind() + " " + fault.pointer()).toList();
  }

  private static String lineOf(String text, ConfigurationFault fault) {
    return text.lines().toList().get(fault.position().orElseThrow().line() - 1);
  }

  private static String lastSegment(ConfigurationFault fault) {
    return fault.pointer().substring(fault.pointer().lastIndexOf('/') + 1);
  }
}
