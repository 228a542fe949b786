package dev.apricotmill.node.relay;

import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ServerNotice;

/** Receives what backend servers say of themselves in responses of any kind. */
@FunctionalInterface
public interface ServerNoticeListener {

  /** Called on any thread, before the response that carries the notice is handled. */
  void onNotice(BackendServer server, ServerNotice notice);
}
