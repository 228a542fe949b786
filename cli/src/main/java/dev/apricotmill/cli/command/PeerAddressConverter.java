package dev.apricotmill.cli.command;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import com.google.common.net.InetAddresses;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.util.Optional;

/** Reads {@code IP:PORT} from the command line or an environment variable. */
public final class PeerAddressConverter implements IStringConverter<PeerAddress> {
  @Override
  public PeerAddress convert(String text) {
    return parse(text)
        .orElseThrow(
            () ->
                new ParameterException(
                    "expected an address of the form IP:PORT, such as 10.0.0.5:7000, but got "
                        + text));
  }

  /** Returns the address, or nothing if the text is not one. */
  public static Optional<PeerAddress> parse(String text) {
    try {
      return Optional.of(PeerAddress.parse(text))
          .filter(address -> InetAddresses.isUriInetAddress(address.host()))
          .filter(address -> address.port() > 0);
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
