package dev.apricotmill.coordination.examples;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

final class EmbeddingPageTest {

  private static final Path PAGE = Path.of("..", "docs", "EMBEDDING.md");
  private static final Path SOURCE =
      Path.of("src/test/java/dev/apricotmill/coordination/examples/EmbeddingExamplesTest.java");
  private static final Pattern EXAMPLE =
      Pattern.compile(" {4}// example: \\w+\n(.*?) {4}// end\n", Pattern.DOTALL);

  @Test
  void everyTestedExampleIsOnThePage() throws IOException {
    String page = Files.readString(PAGE);
    List<String> examples =
        EXAMPLE.matcher(Files.readString(SOURCE)).results().map(this::unindented).toList();
    assertThat(examples).hasSize(6);
    for (String example : examples) {
      assertWithMessage("example on the page").that(page).contains("```java\n" + example + "```");
    }
  }

  private String unindented(MatchResult match) {
    return match.group(1).replaceAll("(?m)^ {4}", "");
  }
}
