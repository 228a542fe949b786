package dev.apricotmill.daemon.testing;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A socket on which a test writes arbitrary bytes and reads HTTP responses. */
public final class RawConnection implements AutoCloseable {

  private static final int TIMEOUT_MILLIS = 20_000;

  private final Socket socket;

  private RawConnection(Socket socket) {
    this.socket = socket;
  }

  /** Connects to an address. */
  public static RawConnection to(InetSocketAddress address) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(8 << 10);
    socket.connect(address, TIMEOUT_MILLIS);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return new RawConnection(socket);
  }

  /** Sends text as UTF-8. */
  public RawConnection send(String text) throws IOException {
    return send(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Sends bytes. */
  public RawConnection send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
    return this;
  }

  /** Closes the sending side only. */
  public RawConnection endSending() throws IOException {
    socket.shutdownOutput();
    return this;
  }

  /** Reads until the text has been received and returns everything read. */
  public String readUntil(String text) throws IOException {
    byte[] expected = text.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    InputStream input = socket.getInputStream();
    int matched = 0;
    while (matched < expected.length) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("connection ended before \"" + text + "\": " + read);
      }
      read.write(next);
      matched = next == expected[matched] ? matched + 1 : next == expected[0] ? 1 : 0;
    }
    return read.toString(StandardCharsets.UTF_8);
  }

  /** Reads until the peer closes. */
  public String readToEnd() throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  /** Returns whether the peer closed or reset the connection without sending more. */
  public boolean isClosedByPeer() throws IOException {
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (SocketException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
