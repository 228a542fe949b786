package dev.apricotmill.coordination.follow;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Every process follows a store that was restored from an older copy. */
final class RestoredStoreTest {

  private static final Duration SETTLE_TIME = Duration.ofSeconds(5);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final Duration WRITE_TIME = Duration.ofMillis(5);

  /** For a fleet of any size: two watches per second in each of three zones, and as many lists. */
  private static final long MAX_READS_PER_SECOND = 12;

  private FollowerFleet fleet;
  private Platform operator;

  RestoredStoreTest() {
    useRandom(new SplittableRandom(1));
  }

  private void useRandom(RandomGenerator random) {
    fleet = new FollowerFleet(FollowerFleet.SETTINGS, random);
    operator = fleet.store().clientFor("operator", new Zone("x"), fleet.time().newScheduler());
  }

  private void write(String name, String value) {
    ObjectKey key = new ObjectKey(FollowerFleet.PREFIX + name);
    operator
        .get(key, TIMEOUT)
        .thenAccept(
            current ->
                operator.put(
                    key,
                    value.getBytes(UTF_8),
                    Precondition.versionIs(
                        current instanceof ReadResult.Found found ? found.object().version() : 0),
                    TIMEOUT));
    fleet.advance(WRITE_TIME.multipliedBy(2));
  }

  private void remove(String name) {
    ObjectKey key = new ObjectKey(FollowerFleet.PREFIX + name);
    operator
        .get(key, TIMEOUT)
        .thenAccept(
            current ->
                operator.delete(
                    key,
                    Precondition.versionIs(((ReadResult.Found) current).object().version()),
                    TIMEOUT));
    fleet.advance(WRITE_TIME.multipliedBy(2));
  }

  /** Writes objects of which the last ones are lost, and brings the store back without them. */
  private void loseWrites(Duration outage) {
    write("kept", "1");
    write("changed", "1");
    write("removed", "1");
    FakePlatform.Copy copy = fleet.store().copy();
    write("changed", "2");
    write("added", "1");
    remove("removed");
    fleet.advance(SETTLE_TIME);
    if (!outage.isZero()) {
      fleet.failStore();
      fleet.advance(outage);
      fleet.store().heal();
    }
    fleet.store().restore(copy);
  }

  private void assertAllHave(ImmutableMap<String, String> expected) {
    ImmutableMap.Builder<String, String> paths = ImmutableMap.builder();
    expected.forEach((name, value) -> paths.put(FollowerFleet.PREFIX + name, value));
    for (FollowerFleet.Follower process : fleet.running()) {
      assertWithMessage("content of %s", process.name())
          .that(process.content())
          .isEqualTo(paths.buildOrThrow());
      assertWithMessage("staleness of %s", process.name())
          .that(process.staleness())
          .isAtMost(FollowerFleet.MAX_STALENESS);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 30})
  void whatIsWrittenAfterTheRestorationReachesEveryProcessWithinTheBound(int perZone) {
    fleet.start(3, perZone);
    loseWrites(Duration.ofSeconds(2));

    write("changed", "3");
    fleet.advance(FollowerFleet.MAX_STALENESS);

    assertAllHave(ImmutableMap.of("kept", "1", "changed", "3", "removed", "1"));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 30})
  void revisionsThatAreGivenOutAgainNameNewContent(int perZone) {
    fleet.start(3, perZone);
    // Without a failed read, processes meet revisions that they think they know.
    loseWrites(Duration.ZERO);

    for (int i = 0; i < 5; i++) {
      write("changed", "new" + i);
    }
    fleet.advance(FollowerFleet.MAX_STALENESS);

    assertAllHave(ImmutableMap.of("kept", "1", "changed", "new4", "removed", "1"));
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 30})
  void aProcessThatTheStoreTurnsAwayLearnsOfTheRestorationFromOthers(int perZone) {
    fleet.start(3, perZone);
    fleet.advance(SETTLE_TIME);
    fleet.namesByRank("z0").forEach(name -> fleet.failStoreFor(name, PlatformFault.UNREACHABLE));
    fleet.advance(SETTLE_TIME);
    loseWrites(Duration.ZERO);

    write("changed", "3");
    fleet.advance(FollowerFleet.MAX_STALENESS);

    assertAllHave(ImmutableMap.of("kept", "1", "changed", "3", "removed", "1"));
  }

  @ParameterizedTest
  @MethodSource("sizesAndSeeds")
  void aProcessThatTheStoreTurnsAwayAfterAnOutageLearnsOfTheRestorationFromOthers(
      int perZone, long seed) {
    useRandom(new SplittableRandom(seed));
    assertLearnsAfterAnOutage(perZone);
  }

  /** The system property {@code soak.seeds} sets the number of seeds. */
  static Stream<Arguments> sizesAndSeeds() {
    return IntStream.of(3, 30)
        .boxed()
        .flatMap(
            perZone ->
                LongStream.range(0, Long.getLong("soak.seeds", 8))
                    .mapToObj(seed -> Arguments.of(perZone, seed)));
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 30})
  void theLongestDelaysKeepAProcessThatTheStoreTurnsAwayWithinTheBound(int perZone) {
    useRandom(new LongestDelays());
    assertLearnsAfterAnOutage(perZone);
  }

  private void assertLearnsAfterAnOutage(int perZone) {
    fleet.start(3, perZone);
    loseWrites(Duration.ofSeconds(2));
    fleet.namesByRank("z0").forEach(name -> fleet.failStoreFor(name, PlatformFault.UNREACHABLE));

    write("changed", "3");
    fleet.advance(FollowerFleet.MAX_STALENESS);

    ImmutableMap<String, String> expected =
        ImmutableMap.of("kept", "1", "changed", "3", "removed", "1");
    assertAllHave(expected);
    for (int i = 0; i < SETTLE_TIME.dividedBy(CHECK_INTERVAL); i++) {
      fleet.advance(CHECK_INTERVAL);
      assertAllHave(expected);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 30})
  void readsOfTheStoreStayFewAfterTheRestoration(int perZone) {
    fleet.start(3, perZone);
    loseWrites(Duration.ofSeconds(2));
    fleet.advance(FollowerFleet.MAX_STALENESS);
    long from = fleet.time().nanoTime();

    fleet.advance(SETTLE_TIME);

    assertWithMessage("reads in five seconds")
        .that(fleet.readsSince(from))
        .isAtMost(MAX_READS_PER_SECOND * SETTLE_TIME.toSeconds());
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 30})
  void aStoreThatIsRestoredTwiceIsFollowed(int perZone) {
    fleet.start(3, perZone);
    loseWrites(Duration.ofSeconds(1));
    write("changed", "3");
    fleet.advance(Duration.ofMillis(200));
    FakePlatform.Copy copy = fleet.store().copy();
    write("changed", "4");
    fleet.advance(Duration.ofMillis(300));
    fleet.store().restore(copy);
    fleet.advance(FollowerFleet.MAX_STALENESS);

    assertAllHave(ImmutableMap.of("kept", "1", "changed", "3", "removed", "1"));
  }
}
