package dev.apricotmill.testhelpers.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server on the loopback address that responds to each request of a connection with the next
 * bytes of a script, whatever they are, and closes the connection after the last ones.
 */
public final class RawServer implements AutoCloseable {

  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final String CONTENT_LENGTH = "content-length:";

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final CompletableFuture<Void> firstConnectionEnded = new CompletableFuture<>();
  private final AtomicInteger connections = new AtomicInteger();
  private final ServerSocket server;

  private RawServer(ServerSocket server) {
    this.server = server;
  }

  /**
   * Starts a server.
   *
   * @param firstConnection the script of the first connection
   * @param others the script of each other connection
   */
  public static RawServer start(List<String> firstConnection, List<String> others)
      throws IOException {
    RawServer started =
        new RawServer(new ServerSocket(0, /* backlog= */ 8, InetAddress.getLoopbackAddress()));
    ImmutableList<String> first = ImmutableList.copyOf(firstConnection);
    ImmutableList<String> rest = ImmutableList.copyOf(others);
    started.threads.execute(() -> started.accept(first, rest));
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

  /** Completes when the first connection has ended. */
  public CompletionStage<Void> firstConnectionEnded() {
    return firstConnectionEnded;
  }

  private void accept(ImmutableList<String> first, ImmutableList<String> others) {
    try {
      while (true) {
        Socket connection = server.accept();
        boolean isFirst = connections.incrementAndGet() == 1;
        threads.execute(() -> serve(connection, isFirst ? first : others, isFirst));
      }
    } catch (IOException e) {
      // The server was closed.
    }
  }

  private void serve(Socket accepted, ImmutableList<String> responses, boolean isFirst) {
    try (Socket connection = accepted) {
      for (String response : responses) {
        readRequest(connection.getInputStream());
        connection.getOutputStream().write(response.getBytes(ISO_8859_1));
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
    if (isFirst) {
      firstConnectionEnded.complete(null);
    }
  }

  private static void readRequest(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf(END_OF_HEAD) < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("the connection has ended");
      }
      head.append((char) next);
    }
    input.skipNBytes(contentLength(head.toString()));
  }

  private static long contentLength(String head) {
    return head.lines()
        .filter(line -> line.regionMatches(true, 0, CONTENT_LENGTH, 0, CONTENT_LENGTH.length()))
        .mapToLong(line -> Long.parseLong(line.substring(CONTENT_LENGTH.length()).strip()))
        .findFirst()
        .orElse(0);
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }
}
