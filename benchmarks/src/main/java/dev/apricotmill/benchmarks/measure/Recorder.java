package dev.apricotmill.benchmarks.measure;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.benchmarks.workload.Arrival;
import java.util.ArrayList;
import java.util.List;

/** Records what became of each request, the first ending alone. */
public final class Recorder {

  private final ImmutableList<Arrival> arrivals;
  private final List<Sample> samples = new ArrayList<>();

  /** Creates a recorder for these arrivals. */
  public Recorder(ImmutableList<Arrival> arrivals) {
    this.arrivals = arrivals;
    for (Arrival arrival : arrivals) {
      samples.add(new Sample(arrival));
    }
  }

  /** Notes that a request was admitted. */
  public void admitted(Arrival arrival) {
    sample(arrival).admitted = true;
  }

  /** Notes the first token. */
  public void firstToken(Arrival arrival, long nowNanos) {
    Sample sample = sample(arrival);
    if (sample.firstTokenNanos < 0) {
      sample.firstTokenNanos = nowNanos - arrival.atNanos();
    }
  }

  /** Notes the end of a request; returns false if it has ended before. */
  public boolean ended(Arrival arrival, Ending ending, long nowNanos) {
    Sample sample = sample(arrival);
    if (sample.ending != Ending.OPEN) {
      return false;
    }
    long took = nowNanos - arrival.atNanos();
    boolean late = ending == Ending.ANSWERED && took > arrival.timeLimitNanos();
    sample.ending = late ? Ending.MISSED : ending;
    sample.endNanos = took;
    return true;
  }

  /** Returns whether a request has ended. */
  public boolean hasEnded(Arrival arrival) {
    return sample(arrival).ending != Ending.OPEN;
  }

  /** Returns the arrivals. */
  public ImmutableList<Arrival> arrivals() {
    return arrivals;
  }

  /** Returns the samples, in the order of arrival. */
  public List<Sample> samples() {
    return samples;
  }

  private Sample sample(Arrival arrival) {
    return samples.get(arrival.number());
  }

  /** What became of one request. */
  public static final class Sample {
    private final Arrival arrival;
    private boolean admitted;
    private long firstTokenNanos = -1;
    private long endNanos = -1;
    private Ending ending = Ending.OPEN;

    private Sample(Arrival arrival) {
      this.arrival = arrival;
    }

    /** Returns the request. */
    public Arrival arrival() {
      return arrival;
    }

    /** Returns whether a steward admitted it. */
    public boolean admitted() {
      return admitted;
    }

    /** Returns the time to first token, negative if none came. */
    public long firstTokenNanos() {
      return firstTokenNanos;
    }

    /** Returns the time to its end, negative if none came. */
    public long endNanos() {
      return endNanos;
    }

    /** Returns how it ended. */
    public Ending ending() {
      return ending;
    }
  }
}
