package dev.apricotmill.protocol;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/** Adds the handlers that protect a connection between daemons. */
public interface TransportSecurity {

  /** Connections in clear. */
  TransportSecurity PLAIN =
      new TransportSecurity() {
        @Override
        public void protectClient(Channel channel, InetSocketAddress peer) {}

        @Override
        public void protectServer(Channel channel) {}
      };

  /** Prepares a channel that connects to {@code peer}. */
  void protectClient(Channel channel, InetSocketAddress peer);

  /** Prepares a channel that was accepted. */
  void protectServer(Channel channel);
}
