package dev.apricotmill.coordination.lease;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

final class LeaseTest {

  private static final Duration TAKEOVER = Duration.ofSeconds(12);

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform(time);

  @Test
  void oneProcessHoldsTheLeaseAndKeepsIt() {
    LeaseContender first = newContender("a");
    time.advance(Duration.ofMillis(50));
    LeaseContender second = newContender("b");
    time.advance(Duration.ofMinutes(2));
    assertThat(first.holds()).isTrue();
    assertThat(second.holds()).isFalse();
    assertThat(first.fencingNumbers()).hasSize(1);
  }

  @Test
  void aDeadHolderIsReplacedUnderAHigherFencingNumber() {
    LeaseContender first = newContender("a");
    time.advance(Duration.ofSeconds(1));
    LeaseContender second = newContender("b");
    long before = first.fencingNumber().orElseThrow();
    first.scheduler().shutdown();
    time.advance(TAKEOVER);
    assertThat(second.fencingNumber().orElseThrow()).isGreaterThan(before);
  }

  @Test
  void aPausedHolderDoesNotHoldTheLeaseWhenItResumes() {
    LeaseContender first = newContender("a");
    time.advance(Duration.ofSeconds(1));
    LeaseContender second = newContender("b");
    first.scheduler().pause();
    time.advance(TAKEOVER);
    assertThat(second.holds()).isTrue();
    assertThat(first.holds()).isFalse();
    first.scheduler().resume();
    time.advance(TAKEOVER);
    assertThat(second.holds()).isTrue();
    assertThat(first.holds()).isFalse();
    assertThat(first.losses()).isEqualTo(1);
  }

  @Test
  void aHolderThatCannotRenewStopsBeforeAnotherTakesOver() {
    LeaseContender first = newContender("a");
    time.advance(Duration.ofSeconds(1));
    LeaseContender second = newContender("b");
    time.advance(Duration.ofSeconds(1));
    platform.failProcess("a", PlatformFault.UNREACHABLE);
    for (int step = 0; step < 200; step++) {
      time.advance(Duration.ofMillis(100));
      assertThat(first.holds() && second.holds()).isFalse();
    }
    assertThat(second.holds()).isTrue();
    assertThat(first.losses()).isEqualTo(1);
  }

  @Test
  void aLostResponseToAnAcquisitionIsResolvedByTheNonce() {
    newContender("x").lease().close();
    time.advance(Duration.ofSeconds(2));
    platform.failNext(
        1, PlatformFault.ANSWER_LOST, call -> call.operation() == PlatformOperation.PUT);
    LeaseContender first = newContender("a");
    time.advance(Duration.ofSeconds(4));
    assertThat(first.holds()).isTrue();
  }

  @Test
  void aClosedLeaseIsFreeAtOnce() {
    LeaseContender first = newContender("a");
    time.advance(Duration.ofSeconds(1));
    LeaseContender second = newContender("b");
    time.advance(Duration.ofSeconds(1));
    first.lease().close();
    assertThat(first.holds()).isFalse();
    time.advance(Duration.ofSeconds(2));
    assertThat(second.holds()).isTrue();
  }

  @Property(tries = 1000, seed = "42")
  void noTwoTenuresShareAFencingNumberAndNoTwoProcessesHoldAtOnce(
      @ForAll("steps") List<LeaseStep> steps) {
    VirtualTime clock = new VirtualTime();
    FakePlatform store = new FakePlatform(clock);
    List<LeaseContender> contenders =
        Stream.of("a", "b", "c").map(name -> new LeaseContender(clock, store, name)).toList();
    for (LeaseStep step : steps) {
      step.apply(store, contenders);
      for (int tick = 0; tick < 4; tick++) {
        clock.advance(Duration.ofMillis(700));
        assertThat(contenders.stream().filter(LeaseContender::holds).count()).isAtMost(1);
      }
    }
    Set<Long> numbers = new HashSet<>();
    contenders.forEach(
        contender ->
            contender.fencingNumbers().forEach(number -> assertThat(numbers.add(number)).isTrue()));
    LeaseStep.endAllFaults(store, contenders);
    clock.advance(Duration.ofSeconds(30));
    assertThat(contenders.stream().filter(LeaseContender::holds).count()).isEqualTo(1);
  }

  @Provide
  Arbitrary<List<LeaseStep>> steps() {
    return Arbitraries.of(LeaseStep.class).list().ofMinSize(4).ofMaxSize(12);
  }

  private LeaseContender newContender(String name) {
    return new LeaseContender(time, platform, name);
  }
}
