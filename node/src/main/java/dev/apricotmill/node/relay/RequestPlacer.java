package dev.apricotmill.node.relay;

import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.util.function.Consumer;

/** Places requests on the engines of a pool. */
public interface RequestPlacer {

  /** Requests engines; the callback runs on the relay's executor, at once or later. */
  void place(PlacementRequest placementRequest, Consumer<Placement> callback);

  /** Reports that the first event of a response has arrived. */
  void firstEvent(ServiceName service, RequestId request);

  /** Reports that a request no longer uses its engines, and whether its response is complete. */
  void ended(ServiceName service, RequestId request, boolean completed);

  /** Reports that a server failed a request. */
  void failed(ServiceName service, ReplicaId server, boolean unreachable);

  /** Reports that an engine broke off a response before or soon after it began to write it. */
  void brokenOff(ServiceName service, ReplicaId server, PromptParts promptParts);
}
