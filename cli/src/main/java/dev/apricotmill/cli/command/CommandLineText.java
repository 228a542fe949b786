package dev.apricotmill.cli.command;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Writes a command line that an operator can paste into a shell. */
public final class CommandLineText {
  private static final Pattern PLAIN_WORD = Pattern.compile("[A-Za-z0-9_./:@%+=,-]+");

  private CommandLineText() {}

  /** Returns a command line with the platform's address, if that was given as an option. */
  public static String of(CommonOptions options, String... words) {
    ImmutableList.Builder<String> all = ImmutableList.builder();
    all.add("apricotmill").add(words);
    options.platformOption().ifPresent(address -> all.add("--platform", address.toString()));
    return join(all.build());
  }

  private static String join(List<String> words) {
    return words.stream().map(CommandLineText::quoted).collect(Collectors.joining(" "));
  }

  private static String quoted(String word) {
    return PLAIN_WORD.matcher(word).matches() ? word : "'" + word.replace("'", "'\\''") + "'";
  }
}
