package dev.apricotmill.benchmarks.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Writes one plot for each figure over the load. */
final class Plots {

  private static final int WIDTH_PIXELS = 900;
  private static final int HEIGHT_PIXELS = 500;

  private final Path directory;

  Plots(Path directory) {
    this.directory = directory;
  }

  void write(List<Measurement.Row> rows) throws IOException {
    Files.createDirectories(directory);
    plot(rows, Column.FIRST_TOKEN_SLOWDOWN, "slowdown of short prompts, p99", true);
    plot(rows, Column.PROMPT_LONG, "long prompts within 1.5 bare reading times", false);
    plot(rows, Column.GOODPUT, "answers in time a second", false);
  }

  private void plot(List<Measurement.Row> rows, Column column, String title, boolean logarithmic)
      throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(title)
            .xAxisTitle("load")
            .yAxisTitle(title)
            .build();
    chart.getStyler().setYAxisLogarithmic(logarithmic);
    Map<String, List<Measurement.Row>> bySubject = new LinkedHashMap<>();
    for (Measurement.Row row : rows) {
      bySubject.computeIfAbsent(row.subject(), unused -> new ArrayList<>()).add(row);
    }
    bySubject.forEach(
        (subject, line) ->
            chart.addSeries(
                subject,
                line.stream().mapToDouble(Measurement.Row::load).toArray(),
                line.stream().mapToDouble(row -> row.mean(column)).toArray()));
    String file = column.name().toLowerCase(Locale.ROOT).replace('_', '-');
    VectorGraphicsEncoder.saveVectorGraphic(
        chart, directory.resolve(file).toString(), VectorGraphicsFormat.SVG);
  }
}
