package dev.apricotmill.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.PrintWriter;

/** How a report is printed. */
public enum OutputFormat {
  /** Lines for a person. */
  TEXT {
    @Override
    public void print(Report report, PrintWriter out) {
      report.printText(out);
    }
  },
  /** One JSON object for a program. */
  JSON {
    @Override
    public void print(Report report, PrintWriter out) {
      try {
        out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(report));
      } catch (JsonProcessingException e) {
        throw new IllegalStateException("a report is made of plain records", e);
      }
    }
  };

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .addModule(new JavaTimeModule())
          .addModule(new GuavaModule())
          .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
          .disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
          .build();

  /** Prints the report. */
  public abstract void print(Report report, PrintWriter out);
}
