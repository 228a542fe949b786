package dev.apricotmill.coordination.follow;

import dev.apricotmill.coordination.platform.ObjectKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The changes that the operator made, against which the content of a process is checked. */
final class ChangeHistory {

  private final Map<String, List<Change>> changesByPath = new HashMap<>();

  /**
   * A change to an object.
   *
   * @param acknowledgedNanos when the store acknowledged it, {@link Long#MAX_VALUE} until then
   * @param value the object's new value, empty if it was removed
   */
  private record Change(long acknowledgedNanos, Optional<String> value) {}

  /** Records a change that the store may have carried out but has not acknowledged. */
  void begin(ObjectKey key, Optional<String> value) {
    changesByPath
        .computeIfAbsent(key.path(), path -> new ArrayList<>())
        .add(new Change(Long.MAX_VALUE, value));
  }

  /** Records that the store acknowledged the last change of an object. */
  void acknowledge(ObjectKey key, long nanos) {
    List<Change> changes = changesByPath.get(key.path());
    Change last = changes.remove(changes.size() - 1);
    changes.add(new Change(nanos, last.value()));
  }

  /** Returns the values that the operator wrote last, by path. */
  Map<String, String> newestValues() {
    Map<String, String> values = new HashMap<>();
    changesByPath.forEach(
        (path, changes) ->
            changes.get(changes.size() - 1).value().ifPresent(value -> values.put(path, value)));
    return values;
  }

  /** Each object must be as acknowledged at the time of the last validation, or newer. */
  List<String> violationsOf(Map<String, String> content, ReadTimestamp validatedAt) {
    List<String> violations = new ArrayList<>();
    changesByPath.forEach(
        (path, changes) -> {
          Optional<String> known = Optional.ofNullable(content.get(path));
          Change newestValidated = null;
          boolean allowed = false;
          for (Change change : changes) {
            if (change.acknowledgedNanos() <= validatedAt.monotonicNanos()) {
              newestValidated = change;
              allowed = false;
            }
            allowed |= change.value().equals(known);
          }
          if (newestValidated != null && !allowed) {
            violations.add(
                path
                    + " is "
                    + known
                    + ", last acknowledged before the validation: "
                    + newestValidated);
          }
        });
    return violations;
  }
}
