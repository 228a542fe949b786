package dev.apricotmill.core.prompt;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.ReplicaId;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class CrashAttributionTest {

  private final CrashAttribution attribution = new CrashAttribution();
  private final Set<String> blamed = new HashSet<>();
  private int prompts;
  private int engines;

  @Test
  void aPartUnderWhichFiveEnginesEndedIsBlamed() {
    crashEngines(4, 1_000, "bad");
    assertThat(crashingPart(5_000)).isEmpty();

    crashEngines(1, 5_000, "bad");
    assertThat(crashingPart(6_000)).hasValue("bad");
  }

  @Test
  void theLastPartIsNeverBlamed() {
    PromptParts prompt = new PromptParts(ImmutableList.of("bad"));
    for (int i = 0; i < 10; i++) {
      attribution.onBrokenOff(nextEngine(), prompt, 1_000 * i);
    }

    assertThat(crashingPart(11_000)).isEmpty();
  }

  @Test
  void oneRequestThatIsRepeatedIsNoEvidence() {
    PromptParts prompt = prompt("first", "bad");
    for (int i = 0; i < 10; i++) {
      attribution.onBrokenOff(nextEngine(), prompt, 1_000 * i);
    }

    assertThat(crashingPart(11_000)).isEmpty();
  }

  @Test
  void severalRequestsOnOneEngineAreOneCrash() {
    ReplicaId engine = nextEngine();
    for (int i = 0; i < 10; i++) {
      attribution.onBrokenOff(engine, prompt("first", "bad"), 1_000 + i);
    }

    assertThat(crashingPart(11_000)).isEmpty();
  }

  @Test
  void enginesThatEndAtOnceHaveAnotherCause() {
    for (int i = 0; i < 10; i++) {
      attribution.onBrokenOff(nextEngine(), prompt("first", "bad"), 1_000 + i);
    }

    assertThat(crashingPart(11_000)).isEmpty();
  }

  @Test
  void aResponseThatIsWrittenClearsTheParts() {
    crashEngines(4, 1_000, "document");
    attribution.onWritten(prompt("first", "document"), 5_500);
    crashEngines(4, 6_000, "document");

    assertThat(crashingPart(10_000)).isEmpty();
  }

  @Test
  void aCommonPartNeedsMoreEvidenceThanARareOne() {
    for (int i = 0; i < 20; i++) {
      attribution.onWritten(prompt("first", "document"), 900);
    }
    crashEngines(5, 1_000, "bad");

    assertThat(crashingPart(6_000)).hasValue("bad");

    blamed.add("bad");
    assertThat(crashingPart(6_000)).isEmpty();
  }

  @Test
  void ofPartsThatAlwaysComeTogetherTheLaterIsBlamed() {
    crashEngines(6, 1_000, "bad");

    assertThat(crashingPart(9_000)).hasValue("bad");
  }

  @Test
  void aPartThatIsMissingOnMostEnginesThatEndedIsNotBlamed() {
    crashEngines(5, 1_000, "document");
    for (int i = 0; i < 6; i++) {
      ReplicaId engine = nextEngine();
      attribution.onBrokenOff(engine, prompt("other", "another"), 6_000 + 1_000 * i);
      attribution.onBrokenOff(engine, prompt("third", "another"), 6_000 + 1_000 * i);
    }

    assertThat(crashingPart(13_000)).hasValue("another");
  }

  @Test
  void historyThatAnotherDispatcherKnewCountsLikeItsOwn() {
    attribution.onWritten("document", 20, 900);
    crashEngines(5, 1_000, "document");

    assertThat(crashingPart(6_000)).hasValue("first");
    assertThat(attribution.mostWritten(1, 6_000).get(0).part()).isEqualTo("document");
  }

  @Test
  void ofPartsThatNothingTellsApartNoneIsBlamedBeforeMoreEnginesHaveEnded() {
    for (int i = 0; i < 11; i++) {
      ReplicaId engine = nextEngine();
      attribution.onBrokenOff(engine, prompt("first", "bad"), 1_000 * i);
      attribution.onBrokenOff(engine, prompt("first", "document"), 1_000 * i);
    }
    assertThat(crashingPart(11_000)).isEmpty();

    attribution.onWritten(prompt("other", "document"), 11_500);
    assertThat(crashingPart(12_000)).hasValue("bad");
  }

  @Test
  void enginesUnderABlamedPartSpeakAgainstNoOther() {
    blamed.add("bad");
    for (int i = 0; i < 10; i++) {
      ReplicaId engine = nextEngine();
      attribution.onBrokenOff(engine, prompt("first", "bad"), 1_000 * i);
      attribution.onBrokenOff(engine, prompt("first", "document"), 1_000 * i + 5);
    }

    assertThat(crashingPart(11_000)).isEmpty();
  }

  @Test
  void reportsOnTheLatestCrashAreAwaited() {
    crashEngines(5, 1_000, "bad");

    assertThat(crashingPart(5_050)).isEmpty();
    assertThat(crashingPart(5_100)).hasValue("bad");
  }

  @Test
  void oldCrashesAreForgotten() {
    crashEngines(4, 1_000, "bad");
    crashEngines(1, 65_000, "bad");

    assertThat(crashingPart(66_000)).isEmpty();
  }

  /** Ends engines a second apart. */
  private void crashEngines(int count, double fromMillis, String part) {
    for (int i = 0; i < count; i++) {
      attribution.onBrokenOff(nextEngine(), prompt("first", part), fromMillis + 1_000 * i);
    }
  }

  private Optional<String> crashingPart(double nowMillis) {
    return attribution.findCrashingPart(blamed::contains, nowMillis);
  }

  private ReplicaId nextEngine() {
    return new ReplicaId("e" + engines++);
  }

  private PromptParts prompt(String first, String second) {
    return new PromptParts(ImmutableList.of(first, second, "own" + prompts++));
  }
}
