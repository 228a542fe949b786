package dev.apricotmill.adapters;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.StoredObject;
import java.util.List;

/** The JSON messages of the platform's API. */
final class PlatformMessages {

  private PlatformMessages() {}

  /** A version, of an object or of the store. */
  record Version(long version) {}

  /** An object; its value is encoded as Base64. */
  @SuppressWarnings("ArrayRecordComponent")
  record Entry(String path, long version, byte[] value) {
    StoredObject toObject() {
      return new StoredObject(new ObjectKey(path), version, value);
    }
  }

  /** A list of objects. */
  record Listing(long revision, List<Entry> objects) {}

  /** The changes since a revision. */
  record ChangeSet(long revision, List<Entry> changed, List<String> removed) {}

  /** One VM. */
  record MachineEntry(
      String name, Machine.Role role, String zone, String address, Machine.State state) {
    Machine toMachine() {
      return new Machine(name, role, new Zone(zone), address, state);
    }
  }

  /** The list of VMs. */
  record MachineListing(List<MachineEntry> machines) {}

  static ImmutableList<StoredObject> objects(List<Entry> entries) {
    return entries.stream().map(Entry::toObject).collect(ImmutableList.toImmutableList());
  }
}
