package dev.apricotmill.cli;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.util.stream.Collectors.toUnmodifiableSet;

import com.google.common.base.Ascii;
import com.google.common.base.Splitter;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.outcome.UnknownReason;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class OperatorsPageTest {
  private static final String PAGE = ExampleFiles.read("OPERATORS.md");
  private static final List<String> MODULES =
      List.of("coordination", "core", "protocol", "adapters", "node", "daemon");
  private static final Pattern METRIC = Pattern.compile("`(apricotmill_[a-z_]+)`");
  private static final Pattern LOG_LINE =
      Pattern.compile("`((?:node|daemon|membership|lease|configuration|http|inner): [^`]*)`");
  private static final Pattern REASON = Pattern.compile("`([a-z]+(?:_[a-z]+)+)`");
  private static final Pattern COMMAND = Pattern.compile("`apricotmill ([a-z][^`]*)`");

  @Test
  void everyMetricOnThePageIsRecordedSomewhere() {
    String sources = sources();
    named(METRIC)
        .map(name -> name.replaceAll("_(total|seconds)$", "").replace('_', '.'))
        .forEach(name -> assertWithMessage(name).that(sources).contains("\"" + name + "\""));
  }

  @Test
  void everyLogLineOnThePageIsWrittenSomewhere() {
    String sources = sources();
    named(LOG_LINE).forEach(line -> assertWithMessage(line).that(sources).contains("\"" + line));
  }

  @Test
  void everyReasonOnThePageExists() {
    Set<String> reasons =
        Stream.of(RefusalReason.values(), FailureReason.values(), UnknownReason.values())
            .flatMap(Stream::of)
            .map(reason -> Ascii.toLowerCase(((Enum<?>) reason).name()))
            .collect(toUnmodifiableSet());
    named(REASON)
        .filter(word -> !word.startsWith("apricotmill_"))
        .forEach(word -> assertWithMessage(word).that(reasons).contains(word));
  }

  @Test
  void everyCommandOnThePageExists() {
    Set<String> commands = new CommandTree().commands().keySet();
    named(COMMAND)
        .map(line -> Splitter.on(' ').splitToList(line))
        .forEach(
            words -> {
              String first = words.get(0);
              String both = words.size() > 1 ? first + " " + words.get(1) : first;
              assertWithMessage(both)
                  .that(commands.contains(first) || commands.contains(both))
                  .isTrue();
            });
  }

  private static Stream<String> named(Pattern pattern) {
    List<String> found =
        pattern.matcher(PAGE).results().map((MatchResult match) -> match.group(1)).toList();
    assertWithMessage("matches of " + pattern).that(found).isNotEmpty();
    return found.stream();
  }

  private static String sources() {
    return MODULES.stream()
        .map(module -> Path.of("..", module, "src", "main", "java"))
        .flatMap(OperatorsPageTest::javaFiles)
        .map(OperatorsPageTest::text)
        .collect(Collectors.joining("\n"));
  }

  private static Stream<Path> javaFiles(Path directory) {
    try (Stream<Path> files = Files.walk(directory)) {
      return files.filter(file -> file.toString().endsWith(".java")).toList().stream();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String text(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
