package dev.apricotmill.core.sheet;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.ConfigurationFault;
import dev.apricotmill.core.configuration.ConfigurationLimits;
import dev.apricotmill.core.configuration.ConfigurationValidator;
import dev.apricotmill.core.configuration.Configurations;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.request.CustomerId;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;

class SheetPropertiesTest {
  private static final Configuration BEFORE = Configurations.small();

  @Property(seed = "21", tries = 2_000)
  void anAcceptedSheetKeepsServicesRulesAndKeysAndLeavesAValidConfiguration(
      @ForAll("sheets") String sheet) {
    SheetResult result = SheetApplier.apply(sheet.getBytes(UTF_8), Sheets.context());

    Statistics.label("taken").collect(result instanceof SheetResult.Accepted);
    if (result instanceof SheetResult.Accepted accepted) {
      Configuration after = accepted.configuration();
      assertThat(after.services()).isEqualTo(BEFORE.services());
      assertThat(after.rules()).isEqualTo(BEFORE.rules());
      assertThat(after.objective()).isEqualTo(BEFORE.objective());
      assertThat(after.customers().keySet()).isEqualTo(BEFORE.customers().keySet());
      after.customers().values().forEach(SheetPropertiesTest::assertKeyKeptAndLimitsInRange);
      assertThat(ConfigurationValidator.check(after).stream().filter(ConfigurationFault::isError))
          .isEmpty();
    }
  }

  /** Sheets of 1 to 5 lines, most of them valid. */
  @Provide
  Arbitrary<String> sheets() {
    Arbitrary<String> names =
        mostly(List.of("customer-00000", "customer-00001"), List.of("nobody", "=A1", ""));
    Arbitrary<String> numbers =
        mostly(List.of("", "1", "7", "900"), List.of("0", "-1", "1e9", "0.5"));
    Arbitrary<String> priorities = mostly(List.of("", "HIGH", "LOW"), List.of("NONE"));
    Arbitrary<String> customers =
        Combinators.combine(names, numbers, priorities, numbers, numbers, numbers)
            .as(
                (name, weight, priority, requests, tokens, open) ->
                    String.join(
                        ",", "customer", name, weight, priority, requests, tokens, open, "", ""));
    Arbitrary<String> machines =
        Arbitraries.of(
            "entry-0",
            "entry-1",
            "entry-3",
            "model-machine-0",
            "model-machine-1",
            "model-machine-2",
            "desk-machine-0");
    Arbitrary<String> begins = Arbitraries.integers().between(0, 14).map("%02d:00"::formatted);
    Arbitrary<String> ends = Arbitraries.integers().between(12, 23).map("%02d:00"::formatted);
    Arbitrary<String> stops = Combinators.combine(machines, begins, ends).as(Sheets::stop);
    return Arbitraries.oneOf(customers, stops).list().ofMinSize(1).ofMaxSize(5).map(Sheets::sheet);
  }

  private static Arbitrary<String> mostly(List<String> good, List<String> bad) {
    return Arbitraries.frequencyOf(
        List.of(Tuple.of(20, Arbitraries.of(good)), Tuple.of(1, Arbitraries.of(bad))));
  }

  private static void assertKeyKeptAndLimitsInRange(Customer customer) {
    CustomerId id = customer.id();
    assertThat(customer.keyHash()).isEqualTo(BEFORE.customers().get(id).keyHash());
    assertThat(ConfigurationLimits.WEIGHT.contains(customer.weight())).isTrue();
    assertThat(customer.limits().requestsPerSecond()).isAtLeast(0.01);
    assertThat(customer.limits().promptTokensPerSecond()).isAtLeast(1.0);
    assertThat(customer.limits().openRequests()).isAtLeast(1);
  }
}
