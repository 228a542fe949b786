package dev.apricotmill.daemon.inner;

import com.google.common.net.InetAddresses;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.net.InetSocketAddress;

/** Converts peers' IP addresses to socket addresses without a DNS lookup. */
final class PeerAddresses {

  private PeerAddresses() {}

  static InetSocketAddress toSocketAddress(PeerAddress address) {
    return new InetSocketAddress(InetAddresses.forString(address.host()), address.port());
  }
}
