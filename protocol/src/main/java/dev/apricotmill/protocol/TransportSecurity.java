package dev.apricotmill.protocol;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/** Adds the channel handlers that secure a connection between daemons. */
public interface TransportSecurity {

  /** Plaintext connections without TLS. */
  TransportSecurity PLAIN =
      new TransportSecurity() {
        @Override
        public void protectClient(Channel channel, InetSocketAddress peer) {}

        @Override
        public void protectServer(Channel channel) {}
      };

  /** Adds the handlers for a channel that connects to {@code peer}. */
  void protectClient(Channel channel, InetSocketAddress peer);

  /** Adds the handlers for an accepted channel. */
  void protectServer(Channel channel);
}
