package dev.apricotmill.core.configuration;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.Sets;
import dev.apricotmill.core.request.CustomerId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class ConfigurationDecoderTest {
  private final ConfigurationDecoder decoder = new ConfigurationDecoder();

  @Provide
  Arbitrary<List<Configuration>> histories() {
    return Configurations.arbitrary().list().ofMinSize(2).ofMaxSize(4);
  }

  @Property(seed = "31", tries = 1_000)
  void everyGenerationIsDecodedIndependentlyOfEarlierOnes(
      @ForAll("histories") List<Configuration> history) {
    ConfigurationDecoder sequence = new ConfigurationDecoder();
    for (Configuration configuration : history) {
      assertThat(
              sequence.decode(configuration.generation(), ConfigurationCodec.encode(configuration)))
          .isEqualTo(new DecodeResult.Decoded(configuration));
    }
  }

  @Test
  void customersOfUnchangedPartsAreNotDecodedAgain() {
    Configuration before = Configurations.withCustomers(1_000);
    Customer changed = before.customers().get(new CustomerId("customer-00017"));
    Configuration first = decoded(before);

    Configuration second =
        decoded(Configurations.withCustomer(before, Configurations.withWeight(changed, 9)));

    Set<Customer> firstObjects = Sets.newIdentityHashSet();
    firstObjects.addAll(first.customers().values());
    long same = second.customers().values().stream().filter(firstObjects::contains).count();
    assertThat(second.customers().get(changed.id()).weight()).isEqualTo(9);
    assertThat(same).isGreaterThan(900);
  }

  @Test
  void aFaultyPartIsDecodedAgainOnceItIsFixed() {
    Configuration small = Configurations.small();
    Map<String, byte[]> faulty = new HashMap<>(ConfigurationCodec.encode(small));
    String part = ConfigurationCodec.partOf(small.customers().keySet().asList().get(0));
    faulty.put(part, "[{}]".getBytes(UTF_8));

    assertThat(decoder.decode(1, faulty)).isInstanceOf(DecodeResult.Faulty.class);
    assertThat(decoded(small)).isEqualTo(small);
  }

  private Configuration decoded(Configuration configuration) {
    DecodeResult result =
        decoder.decode(configuration.generation(), ConfigurationCodec.encode(configuration));
    return ((DecodeResult.Decoded) result).configuration();
  }
}
