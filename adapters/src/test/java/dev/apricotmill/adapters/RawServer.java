package dev.apricotmill.adapters;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Serves two connections in order, each with its list of bytes, one entry for each request. */
final class RawServer {

  private final ServerSocket server;

  private RawServer(ServerSocket server) {
    this.server = server;
  }

  /** Starts a server that accepts one connection. */
  static PeerAddress start(AdapterFixture fixture, ImmutableList<String> onlyConnection)
      throws IOException {
    return start(fixture, onlyConnection, ImmutableList.of());
  }

  /** Starts a server that accepts a second connection once the first one has ended. */
  static PeerAddress start(
      AdapterFixture fixture,
      ImmutableList<String> firstConnection,
      ImmutableList<String> secondConnection)
      throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    RawServer server = new RawServer(new ServerSocket(0, 1, loopback));
    fixture.closeAtEnd(server.server);
    Thread thread =
        new Thread(() -> server.serve(ImmutableList.of(firstConnection, secondConnection)));
    thread.setDaemon(true);
    thread.start();
    return new PeerAddress(loopback.getHostAddress(), server.server.getLocalPort());
  }

  private void serve(ImmutableList<ImmutableList<String>> connections) {
    try {
      for (ImmutableList<String> responses : connections) {
        serve(server.accept(), responses);
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket accepted, ImmutableList<String> responses) {
    try (Socket socket = accepted) {
      BufferedReader requests =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      for (String response : responses) {
        if (!readRequest(requests)) {
          return;
        }
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  private static boolean readRequest(BufferedReader requests) throws IOException {
    String line = requests.readLine();
    while (line != null && !line.isEmpty()) {
      line = requests.readLine();
    }
    return line != null;
  }
}
