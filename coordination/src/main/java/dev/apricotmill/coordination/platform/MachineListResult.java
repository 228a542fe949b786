package dev.apricotmill.coordination.platform;

import com.google.common.collect.ImmutableList;

/** The result of reading the list of VMs. */
public sealed interface MachineListResult {

  /**
   * The list was read; it may lag behind the actual state.
   *
   * @param machines the VMs
   */
  record Listed(ImmutableList<Machine> machines) implements MachineListResult {}

  /**
   * The platform gave no usable response.
   *
   * @param failure the cause
   */
  record Unavailable(PlatformFailure failure) implements MachineListResult {}
}
