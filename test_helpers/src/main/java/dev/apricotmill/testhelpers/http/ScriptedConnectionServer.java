package dev.apricotmill.testhelpers.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server on the loopback address that runs a script for each connection, which reads and writes
 * raw bytes and may reset the connection.
 */
public final class ScriptedConnectionServer implements AutoCloseable {

  private static final String END_OF_HEAD = "\r\n\r\n";

  /** Small, so that a long upload is still being written when its response arrives. */
  private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger connections = new AtomicInteger();
  private final ServerSocket server;

  /** What the server does with a connection; it closes the connection afterwards. */
  @FunctionalInterface
  public interface ConnectionScript {
    /** Serves a connection. */
    void serve(Socket connection) throws IOException, InterruptedException;
  }

  private ScriptedConnectionServer(ServerSocket server) {
    this.server = server;
  }

  /** Starts a server that runs {@code script} for each connection. */
  public static ScriptedConnectionServer start(ConnectionScript script) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    ScriptedConnectionServer started = new ScriptedConnectionServer(socket);
    started.threads.execute(() -> started.accept(script));
    return started;
  }

  /** Returns where the server listens. */
  public PeerAddress address() {
    return new PeerAddress(server.getInetAddress().getHostAddress(), server.getLocalPort());
  }

  /** Returns the number of connections that were accepted. */
  public int connections() {
    return connections.get();
  }

  /** Reads the head of a request and nothing of its body; returns it with its last empty line. */
  public static String readHead(Socket connection) throws IOException {
    InputStream input = connection.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf(END_OF_HEAD) < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("the connection has ended");
      }
      head.append((char) next);
    }
    return head.toString();
  }

  /** Writes text to a connection, a byte for each character. */
  public static void write(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(ISO_8859_1));
  }

  /** Resets a connection, so that the client loses what it has not read. */
  public static void reset(Socket connection) throws IOException {
    connection.setSoLinger(true, 0);
    connection.close();
  }

  private void accept(ConnectionScript script) {
    try {
      while (true) {
        Socket connection = server.accept();
        connections.incrementAndGet();
        threads.execute(() -> serve(connection, script));
      }
    } catch (IOException e) {
      // The server was closed.
    }
  }

  private static void serve(Socket accepted, ConnectionScript script) {
    try (Socket connection = accepted) {
      script.serve(connection);
    } catch (IOException e) {
      // The client has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }
}
