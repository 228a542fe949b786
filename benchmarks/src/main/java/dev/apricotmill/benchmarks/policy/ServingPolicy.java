package dev.apricotmill.benchmarks.policy;

import dev.apricotmill.benchmarks.workload.Arrival;

/** A way to serve requests on a fleet. */
public interface ServingPolicy {

  /** Takes a request that arrives now. */
  void submit(Arrival arrival);

  /** Notes that an engine died and lost what it held. */
  void onEngineLost(int replica);

  /** Notes that an engine runs again, empty. */
  void onEngineBack(int replica);

  /** Kills an entry daemon with all that it held. */
  void onDaemonLost(int daemon);

  /** Cuts a zone off from the others, or joins it again. */
  void onZoneCut(int zone, boolean cut);

  /** Returns the memory that the policy holds reserved; zero when it is quiet. */
  long reservedTokens();
}
