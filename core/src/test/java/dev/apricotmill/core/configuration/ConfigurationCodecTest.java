package dev.apricotmill.core.configuration;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import dev.apricotmill.core.request.CustomerId;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationCodecTest {

  @Provide
  Arbitrary<Configuration> configurations() {
    return Configurations.arbitrary();
  }

  @Property(seed = "7", tries = 1_000)
  void decodingReturnsTheEncodedConfiguration(@ForAll("configurations") Configuration original) {
    ImmutableMap<String, byte[]> parts = ConfigurationCodec.encode(original);

    assertThat(ConfigurationCodec.decode(original.generation(), parts))
        .isEqualTo(new DecodeResult.Decoded(original));
  }

  @Property(seed = "8", tries = 1_000)
  void equalContentGivesEqualBytes(@ForAll("configurations") Configuration original) {
    Configuration reordered = Configurations.withReversedMaps(original);

    assertThat(changedParts(original, reordered)).isEmpty();
  }

  @Test
  void thirtyFiveThousandCustomersFitThePlatformsLimit() {
    Configuration large = Configurations.withCustomers(35_000);

    ImmutableMap<String, byte[]> parts = ConfigurationCodec.encode(large);

    parts.values().forEach(part -> assertThat(part.length).isAtMost(Platform.MAX_VALUE_BYTES));
    assertThat(ConfigurationCodec.decode(0, parts)).isEqualTo(new DecodeResult.Decoded(large));
  }

  @Test
  void aChangeOfOneCustomerChangesOnePart() {
    Configuration before = Configurations.withCustomers(1_000);
    Customer changed = before.customers().get(new CustomerId("customer-00017"));

    Configuration after =
        Configurations.withCustomer(before, Configurations.withWeight(changed, 9));

    assertThat(changedParts(before, after))
        .containsExactly(ConfigurationCodec.partOf(changed.id()));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "settings | {\"format\":2,\"objective\":\"TIME_TO_FIRST_TOKEN\"} | /settings/format | UNKNOWN_FORMAT",
        "settings | {\"format\":1} | /settings/objective | MISSING_FIELD",
        "settings | {\"format\":1,\"objective\":\"SPEED\"} | /settings/objective | UNKNOWN_WORD",
        "settings | {\"format\":true,\"objective\":\"TIME_TO_FIRST_TOKEN\"} | /settings/format | WRONG_TYPE",
        "settings | [] | /settings | WRONG_TYPE",
        "rules | {} | /rules | WRONG_TYPE",
        "rules | [7] | /rules/0 | WRONG_TYPE",
        "rules | [{\"extra/field\":1}] | /rules/0/extra~1field | UNKNOWN_FIELD",
        "services | [ | /services | MALFORMED_JSON",
        "services | [] [] | /services | MALFORMED_JSON",
        "other | [] | /other | UNKNOWN_PART",
        "planned-stops | [{\"machine\":\"m\",\"from\":\"noon\",\"until\":\"2026-11-20T06:00:00Z\"}] | /planned-stops/0/from | MALFORMED_VALUE",
      })
  void aFaultIsReportedWithItsKindAndPointer(String part, String text, String pointer, Kind kind) {
    Map<String, byte[]> parts = encoded(Configurations.small());
    parts.put(part, text.getBytes(UTF_8));

    assertThat(kindsAndPointers(ConfigurationCodec.decode(1, parts)))
        .contains(kind + " " + pointer);
  }

  @Test
  void aMissingPartIsAFault() {
    Map<String, byte[]> parts = encoded(Configurations.small());
    parts.remove("rules");

    assertThat(kindsAndPointers(ConfigurationCodec.decode(1, parts)))
        .containsExactly("MISSING_PART /rules");
  }

  @Test
  void aCustomerInTheWrongPartIsAFault() {
    Configuration small = Configurations.small();
    Map<String, byte[]> parts = encoded(small);
    String right = ConfigurationCodec.partOf(small.customers().keySet().asList().get(0));
    String wrong = right.equals("customers-00") ? "customers-01" : "customers-00";
    parts.put(wrong, parts.remove(right));

    assertThat(kindsAndPointers(ConfigurationCodec.decode(1, parts)))
        .contains("MISPLACED /" + wrong + "/0/id");
  }

  private static Map<String, byte[]> encoded(Configuration configuration) {
    return new HashMap<>(ConfigurationCodec.encode(configuration));
  }

  private static List<String> kindsAndPointers(DecodeResult result) {
    return ((DecodeResult.Faulty) result)
        .faults().stream().map(fault -> fault.kind() + " " + fault.pointer()).toList();
  }

  private static Set<String> changedParts(Configuration left, Configuration right) {
    return Maps.difference(hashes(left), hashes(right)).entriesDiffering().keySet();
  }

  private static Map<String, Integer> hashes(Configuration configuration) {
    return Maps.transformValues(ConfigurationCodec.encode(configuration), Arrays::hashCode);
  }
}
