package dev.apricotmill.node.relay;

import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementAsk;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.util.function.Consumer;

/** The port to whoever knows what is placed on the engines of a pool. */
public interface RequestPlacer {

  /** Asks for engines; {@code then} runs on the relay's executor, at once or later. */
  void place(PlacementAsk placementRequest, Consumer<Placement> callback);

  /** Tells that the first event of an answer has come. */
  void firstEvent(ServiceName service, RequestId request);

  /** Tells that a request uses its engines no more. */
  void ended(ServiceName service, RequestId request);

  /** Tells that a server failed a request. */
  void failed(ServiceName service, ReplicaId server, boolean unreachable);
}
