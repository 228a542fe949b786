package dev.apricotmill.daemon.settings;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.truth.Correspondence;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SettingsReaderTest {

  private static final ImmutableList<String> REQUIRED =
      ImmutableList.of(
          "--daemon-name", "d1", "--zone", "z1", "--platform-address", "127.0.0.1:9000");
  private static final Path SETTINGS_PAGE = Path.of("..", "docs", "SETTINGS.md");
  private static final Pattern FLAG_ROW =
      Pattern.compile("\\| `(--[a-z-]+)` \\| (?:`(\\w+)`)? ?\\|");

  @Test
  void aFlagOverridesItsVariableAndAVariableOverridesTheDefault() {
    DaemonSettings settings =
        valid(
            ImmutableMap.of(
                "APRICOTMILL_ZONE", "other",
                "APRICOTMILL_READ_TIMEOUT", "2.5",
                "APRICOTMILL_VERSION", "true"));
    assertThat(settings.zone().name()).isEqualTo("z1");
    assertThat(settings.limits().readTimeout()).isEqualTo(Duration.ofMillis(2500));
    assertThat(settings.publicAddress().getPort()).isEqualTo(8080);
  }

  @Test
  void allFaultsAreReportedTogether() {
    SettingsResult result =
        SettingsReader.read(
            ImmutableList.of("--public-port", "70000", "--inner-address", "localhost"),
            ImmutableMap.of("APRICOTMILL_LOG_LEVEL", "loud"));
    assertThat(((SettingsResult.Invalid) result).faults())
        .comparingElementsUsing(Correspondence.transforming(SettingFault::flag, "flag"))
        .containsExactly(
            "--daemon-name",
            "--zone",
            "--public-port",
            "--inner-address",
            "--platform-address",
            "--log-level");
  }

  @ParameterizedTest
  @CsvSource({
    "--public-port,-1,NUMBER_OUT_OF_RANGE",
    "--public-port,9090,PORT_TAKEN_TWICE",
    "--maximum-body-bytes,99999999999999999999,NUMBER_OUT_OF_RANGE",
    "--maximum-connections,0,NUMBER_OUT_OF_RANGE",
    "--default-time-limit,-3,SECONDS_OUT_OF_RANGE",
    "--default-time-limit,4000,ABOVE_MAXIMUM",
    "--read-timeout,0,SECONDS_OUT_OF_RANGE",
    "--read-timeout,1e9,SECONDS_OUT_OF_RANGE",
    "--zone,a b,NOT_A_NAME",
    "--platform-address,platform.example:80,NOT_AN_ADDRESS",
    "--otlp-endpoint,ftp://127.0.0.1,NOT_A_URL",
    "--operator-token-hash,abc,NOT_A_HASH",
    "--nonsense,1,NOT_UNDERSTOOD",
  })
  void aWrongValueIsReportedWithItsFaultKind(String flag, String value, FaultKind kind) {
    ImmutableList.Builder<String> arguments = ImmutableList.builder();
    for (int i = 0; i < REQUIRED.size(); i += 2) {
      if (!REQUIRED.get(i).equals(flag)) {
        arguments.add(REQUIRED.get(i), REQUIRED.get(i + 1));
      }
    }
    arguments.add(flag, value);
    SettingsResult result = SettingsReader.read(arguments.build(), ImmutableMap.of());
    assertThat(((SettingsResult.Invalid) result).faults().get(0).kind()).isEqualTo(kind);
  }

  @Test
  void theSettingsPageListsExactlyTheFlagsAndTheirVariables() throws Exception {
    ImmutableList.Builder<String> documented = ImmutableList.builder();
    Matcher rows = FLAG_ROW.matcher(Files.readString(SETTINGS_PAGE));
    while (rows.find()) {
      String flag = rows.group(1);
      documented.add(flag);
      String variable =
          EnvironmentDefaults.FLAGS_WITHOUT_VARIABLE.contains(flag)
              ? null
              : EnvironmentDefaults.variableOf(flag);
      assertThat(rows.group(2)).isEqualTo(variable);
    }
    assertThat(documented.build()).containsExactlyElementsIn(SettingsReader.flagNames());
  }

  private static DaemonSettings valid(ImmutableMap<String, String> environment) {
    return ((SettingsResult.Valid) SettingsReader.read(REQUIRED, environment)).settings();
  }
}
