package dev.apricotmill.coordination.membership;

import java.util.Arrays;

/**
 * A small value that another component gossips along with the probes.
 *
 * @param name identifies the value and the component that it belongs to
 * @param sequence a number that grows with each new value of the same name
 * @param value the encoded value, at most 1 KiB; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record ProbePayload(String name, long sequence, byte[] value) {

  @Override
  public boolean equals(Object other) {
    return other instanceof ProbePayload that
        && name.equals(that.name)
        && sequence == that.sequence
        && Arrays.equals(value, that.value);
  }

  @Override
  public int hashCode() {
    return 31 * name.hashCode() + Long.hashCode(sequence);
  }
}
