package dev.apricotmill.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.ConfigurationDiff.Difference;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class ConfigurationDiffTest {
  private static final Configuration SMALL = Configurations.small();
  private static final Customer FIRST = SMALL.customers().get(new CustomerId("customer-00000"));

  @Provide
  Arbitrary<Configuration> configurations() {
    return Configurations.arbitrary();
  }

  @Property(seed = "11", tries = 200)
  void aConfigurationDoesNotDifferFromItself(
      @ForAll("configurations") Configuration configuration) {
    assertThat(
            ConfigurationDiff.between(
                configuration, Configurations.withReversedMaps(configuration)))
        .isEmpty();
  }

  @Test
  void aChangedFieldIsReportedWithBothValues() {
    Configuration after = Configurations.withCustomer(SMALL, Configurations.withWeight(FIRST, 7));

    assertThat(ConfigurationDiff.between(SMALL, after))
        .containsExactly(
            new Difference(
                "customers/customer-00000/weight", Optional.of("100"), Optional.of("7")));
  }

  @Test
  void aChangedKeyIsReportedWithoutItsHash() {
    Customer withNewKey =
        new Customer(
            FIRST.id(),
            CustomerKey.hash("another"),
            FIRST.weight(),
            FIRST.priority(),
            FIRST.limits());

    Difference difference =
        ConfigurationDiff.between(SMALL, Configurations.withCustomer(SMALL, withNewKey)).get(0);

    assertThat(difference.place()).isEqualTo("customers/customer-00000/keyHash");
    assertThat(difference.toString()).doesNotContain(withNewKey.keyHash());
    assertThat(difference.toString()).doesNotContain(FIRST.keyHash());
  }

  @Test
  void anAddedCustomerIsReportedWithoutItsKeyHash() {
    Difference difference =
        ConfigurationDiff.between(Configurations.withCustomers(1), Configurations.withCustomers(2))
            .get(0);

    assertThat(difference.before()).isEmpty();
    assertThat(difference.after().orElseThrow()).contains("\"keyHash\":\"(a key)\"");
  }

  @Test
  void insertingARuleFirstIsOneDifference() {
    Rule added =
        new Rule(
            new ServiceName("desk"),
            "PUT",
            "/archive",
            Rule.Access.DENY,
            Rule.Repetition.IDEMPOTENT,
            Duration.ofSeconds(1));

    assertThat(
            places(
                withRules(ImmutableList.<Rule>builder().add(added).addAll(SMALL.rules()).build())))
        .containsExactly("rules/desk PUT /archive");
  }

  @Test
  void aChangedRuleOrderIsADifference() {
    assertThat(places(withRules(SMALL.rules().reverse()))).containsExactly("rules (order)");
  }

  private static List<String> places(Configuration after) {
    return ConfigurationDiff.between(SMALL, after).stream().map(Difference::place).toList();
  }

  private static Configuration withRules(ImmutableList<Rule> rules) {
    return new Configuration(
        SMALL.generation(),
        SMALL.objective(),
        SMALL.customers(),
        SMALL.services(),
        rules,
        SMALL.plannedStops());
  }
}
