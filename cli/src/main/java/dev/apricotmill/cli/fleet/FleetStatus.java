package dev.apricotmill.cli.fleet;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Report;
import java.io.PrintWriter;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The status of all daemons that were asked.
 *
 * @param exitCode the code that the process exits with
 * @param newestGeneration the newest generation in force at any daemon
 * @param zones the summaries of the zones
 * @param daemons all daemons
 * @param all whether the text shows also daemons that need no look
 */
record FleetStatus(
    ExitCode exitCode,
    long newestGeneration,
    ImmutableList<ZoneSummary> zones,
    ImmutableList<Entry> daemons,
    @JsonIgnore boolean all)
    implements Report {

  private static final int MAXIMUM_LINES = 30;

  /**
   * One daemon that was asked.
   *
   * @param name its name
   * @param address its operators' port
   * @param status what it told
   * @param silence why it told nothing
   */
  record Entry(
      String name,
      String address,
      Optional<DaemonStatus> status,
      Optional<DaemonReply.Reason> silence) {

    static Entry of(DaemonOptions.NamedDaemon daemon, DaemonReply reply) {
      String address = daemon.address().toString();
      if (reply instanceof DaemonReply.Told told) {
        return new Entry(
            told.status().daemon(), address, Optional.of(told.status()), Optional.empty());
      }
      return new Entry(
          daemon.name(),
          address,
          Optional.empty(),
          Optional.of(((DaemonReply.Silent) reply).reason()));
    }

    boolean needsLook(long newestGeneration) {
      return status
          .map(
              told ->
                  told.phase() != DaemonStatus.Phase.READY
                      || !told.platformReachable()
                      || told.configurationGeneration() < newestGeneration)
          .orElse(true);
    }
  }

  static FleetStatus of(ImmutableList<Entry> entries, boolean all) {
    ImmutableList<DaemonStatus> told =
        entries.stream()
            .flatMap(entry -> entry.status().stream())
            .collect(ImmutableList.toImmutableList());
    long newest = told.stream().mapToLong(DaemonStatus::configurationGeneration).max().orElse(0);
    ImmutableListMultimap<String, DaemonStatus> byZone = Multimaps.index(told, DaemonStatus::zone);
    ImmutableList<ZoneSummary> zones =
        byZone.asMap().entrySet().stream()
            .sorted(Map.Entry.comparingByKey())
            .map(entry -> ZoneSummary.of(entry.getKey(), entry.getValue()))
            .collect(ImmutableList.toImmutableList());
    return new FleetStatus(ExitCode.OK, newest, zones, entries, all);
  }

  long answered() {
    return daemons.stream().filter(entry -> entry.status().isPresent()).count();
  }

  /** Returns how many daemons have a generation or a newer one in force. */
  long daemonsWith(long generation) {
    return daemons.stream()
        .flatMap(entry -> entry.status().stream())
        .filter(status -> status.configurationGeneration() >= generation)
        .count();
  }

  String firstReason() {
    return daemons.stream()
        .flatMap(entry -> entry.silence().stream())
        .findFirst()
        .map(DaemonReply.Reason::words)
        .orElse("");
  }

  @Override
  public void printText(PrintWriter out) {
    out.printf(
        "%d of %d daemons answered, newest generation in force %d%n",
        answered(), daemons.size(), newestGeneration);
    ZoneSummary.printHeader(out);
    zones.forEach(zone -> zone.print(out));
    List<Entry> shown =
        daemons.stream()
            .filter(entry -> all || entry.needsLook(newestGeneration))
            .sorted(Comparator.comparing(Entry::name))
            .toList();
    if (shown.isEmpty()) {
      out.println("all daemons are ready, reach the platform and have the newest generation");
      return;
    }
    out.printf(
        "%n%-24s  %-14s  %-9s  %10s  %8s  %s%n",
        "DAEMON", "ZONE", "PHASE", "GENERATION", "REQUESTS", "REMARK");
    int lines = all ? shown.size() : Math.min(shown.size(), MAXIMUM_LINES);
    shown.subList(0, lines).forEach(entry -> print(entry, out));
    if (lines < shown.size()) {
      out.println("... and " + (shown.size() - lines) + " more; --all lists them");
    }
  }

  private void print(Entry entry, PrintWriter out) {
    if (entry.status().isEmpty()) {
      String remark = entry.silence().map(DaemonReply.Reason::words).orElse("");
      out.printf("%-24s  %-14s  %-9s  %10s  %8s  %s%n", entry.name(), "", "", "", "", remark);
      return;
    }
    DaemonStatus told = entry.status().get();
    out.printf(
        "%-24s  %-14s  %-9s  %10d  %8d  %s%n",
        told.daemon(),
        told.zone(),
        told.phase(),
        told.configurationGeneration(),
        told.openRequests(),
        remark(told));
  }

  private String remark(DaemonStatus told) {
    if (!told.platformReachable()) {
      return "does not reach the platform";
    }
    return told.configurationGeneration() < newestGeneration ? "behind" : "";
  }
}
