package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds free loopback ports. */
final class Ports {

  static final String HOST = "127.0.0.1";

  private Ports() {}

  static int free() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    }
  }
}
