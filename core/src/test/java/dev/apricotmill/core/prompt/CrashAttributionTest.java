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
  void aPartUnderWhichFourEnginesEndedIsBlamed() {
    crashEngines(3, 1_000, "bad");
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
    crashEngines(3, 1_000, "document");
    attribution.onWritten(prompt("other", "document"), 4_500);
    crashEngines(3, 5_000, "document");

    assertThat(crashingPart(9_000)).hasValue("first");
  }

  @Test
  void aCommonPartNeedsMoreEvidenceThanARareOne() {
    for (int i = 0; i < 20; i++) {
      attribution.onWritten(prompt("first", "document"), 900);
    }
    crashEngines(4, 1_000, "bad");

    assertThat(crashingPart(5_000)).hasValue("bad");

    blamed.add("bad");
    assertThat(crashingPart(5_000)).isEmpty();
  }

  @Test
  void ofPartsThatAlwaysComeTogetherTheLaterIsBlamed() {
    crashEngines(6, 1_000, "bad");

    assertThat(crashingPart(9_000)).hasValue("bad");
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
    crashEngines(4, 1_000, "bad");

    assertThat(crashingPart(4_050)).isEmpty();
    assertThat(crashingPart(4_100)).hasValue("bad");
  }

  @Test
  void oldCrashesAreForgotten() {
    crashEngines(3, 1_000, "bad");
    crashEngines(1, 62_000, "bad");

    assertThat(crashingPart(63_000)).isEmpty();
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
