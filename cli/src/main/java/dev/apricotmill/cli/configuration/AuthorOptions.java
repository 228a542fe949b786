package dev.apricotmill.cli.configuration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.google.common.base.CharMatcher;
import dev.apricotmill.cli.command.CommandContext;
import java.util.Optional;
import java.util.UUID;
import org.jspecify.annotations.Nullable;

/** The options of commands that propose a change. */
public final class AuthorOptions {
  private static final int MAXIMUM_LENGTH = 100;

  @Parameter(
      names = "--author",
      description = "Who makes the change; the variables APRICOTMILL_AUTHOR or USER if absent")
  private @Nullable String author;

  @Parameter(
      names = "--expect",
      description = "The generation that the change was made from; the one just read if absent")
  private @Nullable Long expectedGeneration;

  @Parameter(
      names = "--change-id",
      description = "Repeats an earlier change whose answer was lost; needs --expect")
  private @Nullable String changeId;

  /** Checks that the options fit together. */
  public void check() {
    if (changeId != null && expectedGeneration == null) {
      throw new ParameterException("--change-id needs --expect, as the message said");
    }
    if (expectedGeneration != null && expectedGeneration < 0) {
      throw new ParameterException("--expect must not be negative");
    }
    if (changeId != null && changeId.isBlank()) {
      throw new ParameterException("--change-id must not be empty");
    }
  }

  /** Returns who makes the change. */
  public String author(CommandContext context) {
    String name =
        Optional.ofNullable(author)
            .or(() -> Optional.ofNullable(context.environment().get("APRICOTMILL_AUTHOR")))
            .or(() -> Optional.ofNullable(context.environment().get("USER")))
            .orElse("unknown");
    String printable = CharMatcher.javaIsoControl().removeFrom(name);
    return printable.substring(0, Math.min(printable.length(), MAXIMUM_LENGTH));
  }

  /** Returns the generation that the operator expects, if one was given. */
  public Optional<Long> expectedGeneration() {
    return Optional.ofNullable(expectedGeneration);
  }

  /** Returns whether an earlier change is repeated. */
  public boolean repeatsChange() {
    return changeId != null;
  }

  /** Returns the identifier of the change, a new one unless an earlier change is repeated. */
  public String changeId(String prefix) {
    return changeId == null ? prefix + UUID.randomUUID() : changeId;
  }
}
