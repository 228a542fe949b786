package dev.apricotmill.coordination.testing;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.platform.MachineListResult;
import dev.apricotmill.coordination.platform.Platform;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * An in-memory fake of the platform's object store, on virtual time, with injected faults.
 *
 * <p>Each process calls it through its own {@link #clientFor client}. Responses run on the
 * scheduler of that process: a paused process gets them after it resumes, a stopped one never.
 */
public final class FakePlatform {

  private static final Duration DEFAULT_RESPONSE_DELAY = Duration.ofMillis(4);
  private static final Duration DEFAULT_SLOW_DELAY = Duration.ofSeconds(5);

  private final VirtualTime time;
  private final VirtualScheduler scheduler;
  private final ObjectTable objects = new ObjectTable();
  private final FaultRules faults = new FaultRules();
  private final PlatformCallLog log = new PlatformCallLog();
  private final TreeMap<Long, ImmutableList<Machine>> machines = new TreeMap<>();
  private final Set<PendingWatch> pendingWatches = new LinkedHashSet<>();
  private Duration responseDelay = DEFAULT_RESPONSE_DELAY;
  private Duration slowDelay = DEFAULT_SLOW_DELAY;
  private Duration machineListLag = Duration.ZERO;

  /** Creates an empty store on {@code time}. */
  public FakePlatform(VirtualTime time) {
    this.time = time;
    this.scheduler = time.newScheduler();
  }

  /** Returns a client for the process with this name, zone and scheduler. */
  public Platform clientFor(String process, Zone zone, VirtualScheduler processScheduler) {
    return new FakePlatformClient(this, process, zone, processScheduler);
  }

  /** Returns the log of all calls. */
  public PlatformCallLog log() {
    return log;
  }

  /** Sets the time from a call to its response if no fault applies. */
  public void setResponseDelay(Duration delay) {
    responseDelay = delay;
  }

  /** Sets the time to the effect under {@link PlatformFault#SLOW} and {@code DELAYED_WRITE}. */
  public void setSlowDelay(Duration delay) {
    slowDelay = delay;
  }

  /** Sets the delay after which {@link #setMachines} becomes visible to clients. */
  public void setMachineListLag(Duration lag) {
    machineListLag = lag;
  }

  /** Sets the actual list of VMs, which clients see after the configured lag. */
  public void setMachines(ImmutableList<Machine> list) {
    machines.put(time.nanoTime(), list);
  }

  /** Applies {@code fault} to the next {@code calls} matching calls. */
  public void failNext(int calls, PlatformFault fault, Predicate<PlatformRequest> matching) {
    faults.addForCalls(matching, fault, calls);
  }

  /** Applies {@code fault} to the next call. */
  public void failNext(PlatformFault fault) {
    failNext(1, fault, request -> true);
  }

  /** Applies {@code fault} to matching calls during {@code duration}. */
  public void failFor(Duration duration, PlatformFault fault, Predicate<PlatformRequest> matching) {
    faults.addUntilTime(matching, fault, time.nanoTime() + duration.toNanos());
    failWatches();
  }

  /** Applies {@code fault} to matching calls until {@link #heal}. */
  public void fail(PlatformFault fault, Predicate<PlatformRequest> matching) {
    faults.addUntilTime(matching, fault, Long.MAX_VALUE);
    failWatches();
  }

  /** Applies {@code fault} to all calls until {@link #heal}. */
  public void fail(PlatformFault fault) {
    fail(fault, request -> true);
  }

  /** Applies {@code fault} to all calls from one zone until {@link #heal}. */
  public void failZone(Zone zone, PlatformFault fault) {
    fail(fault, request -> request.zone().equals(zone));
  }

  /** Applies {@code fault} to all calls of one process until {@link #heal}. */
  public void failProcess(String process, PlatformFault fault) {
    fail(fault, request -> request.process().equals(process));
  }

  /** Removes all faults. */
  public void heal() {
    faults.clear();
  }

  /** Drops the change history, so that watches from older revisions must list again. */
  public void compact() {
    objects.compact();
  }

  /** Returns a copy of all objects, to which the store can be {@link #restore restored}. */
  public Copy copy() {
    return new Copy(objects.copy());
  }

  /** Goes back to a copy: what was written since is lost, and revisions are given out again. */
  public void restore(Copy copy) {
    objects.restore(copy.objects);
    copyOfWatches().forEach(PendingWatch::fail);
  }

  /** The objects of the store at one moment. */
  public static final class Copy {

    private final ObjectTable objects;

    private Copy(ObjectTable objects) {
      this.objects = objects;
    }
  }

  VirtualTime time() {
    return time;
  }

  VirtualScheduler scheduler() {
    return scheduler;
  }

  ObjectTable objects() {
    return objects;
  }

  Duration responseDelay() {
    return responseDelay;
  }

  Duration slowDelay() {
    return slowDelay;
  }

  Optional<PlatformFault> nextFault(PlatformRequest request) {
    return faults.faultOfNewCall(request, time.nanoTime());
  }

  Optional<PlatformFault> ongoingFault(PlatformRequest request) {
    return faults.ongoingFault(request, time.nanoTime());
  }

  MachineListResult machineList() {
    Map.Entry<Long, ImmutableList<Machine>> entry =
        machines.floorEntry(time.nanoTime() - machineListLag.toNanos());
    return new MachineListResult.Listed(entry == null ? ImmutableList.of() : entry.getValue());
  }

  void addWatch(PendingWatch watch) {
    pendingWatches.add(watch);
  }

  void removeWatch(PendingWatch watch) {
    pendingWatches.remove(watch);
  }

  void notifyWatches(String path) {
    copyOfWatches().stream()
        .filter(watch -> path.startsWith(watch.prefix()))
        .forEach(PendingWatch::complete);
  }

  private void failWatches() {
    copyOfWatches().stream()
        .filter(watch -> ongoingFault(watch.request()).isPresent())
        .forEach(PendingWatch::fail);
  }

  private List<PendingWatch> copyOfWatches() {
    return new ArrayList<>(pendingWatches);
  }
}
