package dev.apricotmill.core.length;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class LengthClassTest {

  @Test
  void aPromptAtTheLimitBelongsToTheLowerClass() {
    assertThat(LengthClass.of(4_000)).isEqualTo(LengthClass.SHORT);
    assertThat(LengthClass.of(4_001)).isEqualTo(LengthClass.MEDIUM);
  }

  @Property(seed = "1")
  void noPromptIsLongerThanItsClassAllows(@ForAll @LongRange(min = 0) long tokens) {
    assertThat(tokens).isAtMost(LengthClass.of(tokens).maximumTokens());
  }
}
