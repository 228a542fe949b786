package dev.apricotmill.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.configuration.ConfigurationDiff.Difference;
import dev.apricotmill.core.request.CustomerId;
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
  void aConfigurationDoesNotDifferFromItself(@ForAll("configurations") Configuration any) {
    assertThat(ConfigurationDiff.between(any, Configurations.withReversedMaps(any))).isEmpty();
  }

  @Test
  void aChangedFieldIsNamedWithBothValues() {
    Configuration after = Configurations.withCustomer(SMALL, Configurations.weighing(FIRST, 7));

    assertThat(ConfigurationDiff.between(SMALL, after))
        .containsExactly(
            new Difference(
                "customers/customer-00000/weight", Optional.of("100"), Optional.of("7")));
  }

  @Test
  void aKeyShowsOnlyAsChanged() {
    Customer rekeyed =
        new Customer(
            FIRST.id(),
            CustomerKey.hash("another"),
            FIRST.weight(),
            FIRST.priority(),
            FIRST.limits());

    Difference difference =
        ConfigurationDiff.between(SMALL, Configurations.withCustomer(SMALL, rekeyed)).get(0);

    assertThat(difference.place()).isEqualTo("customers/customer-00000/keyHash");
    assertThat(difference.toString()).doesNotContain(rekeyed.keyHash());
    assertThat(difference.toString()).doesNotContain(FIRST.keyHash());
  }

  @Test
  void anAddedCustomerShowsWithoutItsKey() {
    Difference difference =
        ConfigurationDiff.between(Configurations.withCustomers(1), Configurations.withCustomers(2))
            .get(0);

    assertThat(difference.before()).isEmpty();
    assertThat(difference.after().orElseThrow()).contains("\"keyHash\":\"(a key)\"");
  }
}
