package dev.apricotmill.benchmarks.fleet;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.request.ReplicaId;
import java.util.Locale;

/** The engines of a deployment and their zones. */
public final class Replicas {

  /** Availability zones of the deployment. */
  public static final int ZONES = 3;

  private final ImmutableList<FakeEngine> engines;

  /** Creates idle engines. */
  public Replicas(EventLoop loop, EngineModel model, int count) {
    ImmutableList.Builder<FakeEngine> builder = ImmutableList.builder();
    for (int number = 0; number < count; number++) {
      builder.add(new FakeEngine(loop, model));
    }
    this.engines = builder.build();
  }

  /** Returns the engines. */
  public ImmutableList<FakeEngine> engines() {
    return engines;
  }

  /** Returns the engine of that number. */
  public FakeEngine engine(int number) {
    return engines.get(number);
  }

  /** Returns how many engines there are. */
  public int count() {
    return engines.size();
  }

  /** Returns the name of a replica. */
  public static ReplicaId id(int number) {
    return new ReplicaId(String.format(Locale.ROOT, "replica-%03d", number));
  }

  /** Returns the zone of a replica, or of an entry daemon. */
  public static Zone zone(int number) {
    return new Zone("zone-" + (char) ('a' + number % ZONES));
  }
}
