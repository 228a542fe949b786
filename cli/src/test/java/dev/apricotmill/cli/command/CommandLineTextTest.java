package dev.apricotmill.cli.command;

import static com.google.common.truth.Truth.assertThat;

import com.beust.jcommander.JCommander;
import org.junit.jupiter.api.Test;

class CommandLineTextTest {

  @Test
  void wordsThatTheShellWouldSplitAreQuoted() {
    assertThat(CommandLineText.of(new CommonOptions(), "config", "apply", "ana's file.json"))
        .isEqualTo("apricotmill config apply 'ana'\\''s file.json'");
  }

  @Test
  void thePlatformIsNamedIfItWasGivenAsAnOption() {
    CommonOptions options = new CommonOptions();
    JCommander.newBuilder().addObject(options).build().parse("--platform", "127.0.0.1:7000");

    assertThat(CommandLineText.of(options, "status"))
        .isEqualTo("apricotmill status --platform 127.0.0.1:7000");
  }
}
