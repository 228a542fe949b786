package dev.apricotmill.cli.sheet;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import dev.apricotmill.cli.command.CommandContext;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The options of all commands on sheets. */
public final class SheetOptions {
  private static final String TIME_ZONE_VARIABLE = "APRICOTMILL_TIME_ZONE";

  @Parameter(
      names = "--time-zone",
      description =
          "Time zone of the deployment, such as Europe/Lisbon; the variable APRICOTMILL_TIME_ZONE"
              + " if absent, then UTC",
      converter = ZoneConverter.class)
  private @Nullable ZoneId timeZone;

  /** Returns the time zone in which days begin. */
  ZoneId timeZone(CommandContext context) {
    if (timeZone != null) {
      return timeZone;
    }
    return Optional.ofNullable(context.environment().get(TIME_ZONE_VARIABLE))
        .map(new ZoneConverter()::convert)
        .orElse(ZoneOffset.UTC);
  }

  /** Returns the day that it is in the deployment. */
  LocalDate today(CommandContext context) {
    return LocalDate.ofInstant(context.timing().clock().instant(), timeZone(context));
  }

  /** Reads the name of a time zone. */
  static final class ZoneConverter implements IStringConverter<ZoneId> {
    @Override
    public ZoneId convert(String text) {
      try {
        return ZoneId.of(text);
      } catch (DateTimeException e) {
        throw new ParameterException("expected a time zone such as Europe/Lisbon, got " + text, e);
      }
    }
  }
}
