package dev.apricotmill.daemon.inner;

import com.google.common.net.InetAddresses;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.net.InetSocketAddress;

/** Turns peers' addresses, which are IP numbers, into socket addresses without a name service. */
final class PeerAddresses {

  private PeerAddresses() {}

  static InetSocketAddress toSocketAddress(PeerAddress address) {
    return new InetSocketAddress(InetAddresses.forString(address.host()), address.port());
  }
}
