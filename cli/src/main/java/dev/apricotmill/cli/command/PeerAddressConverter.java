package dev.apricotmill.cli.command;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import com.google.common.net.InetAddresses;
import dev.apricotmill.coordination.membership.PeerAddress;

/** Reads {@code IP:PORT} from the command line or an environment variable. */
public final class PeerAddressConverter implements IStringConverter<PeerAddress> {
  @Override
  public PeerAddress convert(String text) {
    try {
      PeerAddress address = PeerAddress.parse(text);
      if (InetAddresses.isUriInetAddress(address.host()) && address.port() > 0) {
        return address;
      }
    } catch (IllegalArgumentException e) {
      throw new ParameterException(expected(text), e);
    }
    throw new ParameterException(expected(text));
  }

  private static String expected(String text) {
    return "expected an address of the form IP:PORT, such as 10.0.0.5:7000, but got " + text;
  }
}
