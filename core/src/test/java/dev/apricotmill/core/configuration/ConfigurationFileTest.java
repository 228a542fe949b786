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
  void aGoodFileIsAcceptedAndItsKeysAreHashed() {
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
  void aFileWithoutPlannedStopsKeepsThoseInForce() {
    CheckResult result =
        ConfigurationFile.check(ExampleFile.text().getBytes(UTF_8), ImmutableList.of(STOP));

    assertThat(((CheckResult.Valid) result).configuration().plannedStops()).containsExactly(STOP);
  }

  @Test
  void aFileWithAnEmptyListOfPlannedStopsEndsThem() {
    String text = ExampleFile.with("\"rules\":", "\"plannedStops\": [], \"rules\":");

    CheckResult result = ConfigurationFile.check(text.getBytes(UTF_8), ImmutableList.of(STOP));

    assertThat(((CheckResult.Valid) result).configuration().plannedStops()).isEmpty();
  }

  @ParameterizedTest
  @CsvFileSource(resources = "faulty-files.csv", delimiter = '|', quoteCharacter = '\'')
  void aFaultIsNamedWithItsPlace(String replaced, String replacement, Kind kind, String pointer) {
    String text = ExampleFile.with(replaced, replacement == null ? "" : replacement);

    assertThat(places(faults(check(text)))).contains(kind + " " + (pointer == null ? "" : pointer));
  }

  @Test
  void allFaultsAreNamedAtOnceWithTheirLines() {
    String text =
        ExampleFile.text()
            .replace("\"weight\": 10", "\"weight\": 0")
            .replace("\"priority\": \"LOW\"", "\"priority\": \"SLOW\"")
            .replace("\"address\": \"127.0.0.1:9001\"", "\"address\": \"post:9001\"");

    List<ConfigurationFault> faults = faults(check(text));

    assertThat(places(faults))
        .containsExactly(
            "UNKNOWN_WORD /customers/1/priority",
            "OUT_OF_RANGE /customers/0/weight",
            "NOT_AN_IP_NUMBER /services/0/replicas/0/address");
    faults.forEach(fault -> assertThat(lineOf(text, fault)).contains(lastName(fault)));
  }

  @Test
  void aWarningDoesNotRefuseTheFile() {
    CheckResult result = check(ExampleFile.with("\"AT_MOST_ONCE\"", "\"IDEMPOTENT\""));

    assertThat(places(((CheckResult.Valid) result).warnings()))
        .containsExactly("UNSAFE_METHOD_IDEMPOTENT /rules/2/repetition");
  }

  @Test
  void anEarlierRuleThatCrossesALaterOneIsAWarning() {
    String text =
        ExampleFile.text()
            .replace("\"method\": \"GET\"", "\"method\": \"*\"")
            .replace("\"/status\"", "\"/orders/urgent\"");

    assertThat(places(((CheckResult.Valid) check(text)).warnings()))
        .contains("OVERLAPPING_RULES /rules/2");
  }

  @Test
  void aServiceWithoutReplicasIsAFault() {
    String text = ExampleFile.text().replaceAll("(?s)\"replicas\": \\[.*?\\]", "\"replicas\": []");

    assertThat(places(faults(check(text)))).contains("NO_REPLICA /services/1/replicas");
  }

  @Test
  void stopsOneAfterAnotherLeaveAReplica() {
    String text =
        ExampleFile.with(
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
  void thirtyFiveThousandCustomersAreChecked() {
    Configuration large = Configurations.withCustomers(35_000);

    assertThat(check(ConfigurationFile.render(large))).isInstanceOf(CheckResult.Valid.class);
  }

  @Test
  void moreRulesThanAllowedAreRefusedBeforeTheyAreCompared() {
    String rule = ExampleFile.text().replaceAll("(?s).*\"rules\": \\[\\s*(\\{.*?\\}).*", "$1,");
    String text = ExampleFile.with("\"rules\": [", "\"rules\": [" + rule.repeat(2_000));

    assertThat(places(faults(check(text)))).containsExactly("TOO_MANY /rules");
  }

  @Test
  void noFaultShowsAKey() {
    String text = ExampleFile.with("crews-key-0123456789", "short-key");

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

  private static List<String> places(List<ConfigurationFault> faults) {
    return faults.stream().map(fault -> fault.kind() + " " + fault.pointer()).toList();
  }

  private static String lineOf(String text, ConfigurationFault fault) {
    return text.lines().toList().get(fault.position().orElseThrow().line() - 1);
  }

  private static String lastName(ConfigurationFault fault) {
    return fault.pointer().substring(fault.pointer().lastIndexOf('/') + 1);
  }
}
