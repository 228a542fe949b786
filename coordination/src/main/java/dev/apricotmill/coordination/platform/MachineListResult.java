package dev.apricotmill.coordination.platform;

import com.google.common.collect.ImmutableList;

/** The answer to reading the list of VMs. */
public sealed interface MachineListResult {

  /**
   * The list, which may lag behind the truth.
   *
   * @param machines the VMs
   */
  record Listed(ImmutableList<Machine> machines) implements MachineListResult {}

  /**
   * The platform gave no usable answer.
   *
   * @param failure why
   */
  record Unavailable(PlatformFailure failure) implements MachineListResult {}
}
