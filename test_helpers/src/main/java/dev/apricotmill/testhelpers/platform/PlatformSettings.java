package dev.apricotmill.testhelpers.platform;

import java.time.Duration;

/**
 * How the stand-in of the platform behaves.
 *
 * @param writesPerSecond conditional writes that it takes in a second
 * @param readsPerSecond reads, lists and waiting watches that it takes in a second
 * @param machineListLag how long a change of the list of VMs takes to show
 */
public record PlatformSettings(int writesPerSecond, int readsPerSecond, Duration machineListLag) {

  /** The rates of the platform and a lag of two seconds. */
  public static final PlatformSettings DEFAULTS =
      new PlatformSettings(500, 2000, Duration.ofSeconds(2));
}
