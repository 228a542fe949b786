package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.testhelpers.http.MalformedResponses;
import dev.apricotmill.testhelpers.http.RawServer;
import dev.apricotmill.testhelpers.http.ScriptedConnectionServer;
import dev.apricotmill.testhelpers.http.UnusualResponses;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Responses that are no valid HTTP/1.1. Guards against their being returned, with a body that is
 * not the server's or with lines that callers would get.
 */
@Timeout(120)
final class MalformedResponseTest {

  private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
  private static final String LENGTH = "Content-Length: 10\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
  private static final String BODY = "0123456789";
  private static final String CHUNKS = "5\r\n01234\r\n5\r\n56789\r\n0\r\n";
  private static final String ID_HEADER = "x-id";
  private static final String SOUND = STATUS_LINE + LENGTH + "\r\n" + BODY;

  private final AdapterFixture fixture = new AdapterFixture();
  private ScriptedConnectionServer server;
  private volatile String response = "";
  private volatile String nextResponse = "";
  private volatile boolean keepsConnection;

  @BeforeEach
  void start() throws IOException {
    server = ScriptedConnectionServer.start(this::serve);
    fixture.closeAtEnd(server::close);
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  private void serve(Socket connection) throws IOException {
    String unused = ScriptedConnectionServer.readHead(connection);
    ScriptedConnectionServer.write(connection, response);
    if (keepsConnection) {
      unused = ScriptedConnectionServer.readHead(connection);
      ScriptedConnectionServer.write(connection, nextResponse);
    }
  }

  private ExchangeResult send(PeerAddress address, String id) throws Exception {
    HttpCall call =
        new HttpCall("GET", "/", ImmutableMap.of(), /* contentType= */ null, new byte[0])
            .withExchangeId(ExchangeId.namedIn(ID_HEADER, id));
    return AdapterFixture.await(
        fixture.clients().send(address, call, 1 << 20, Duration.ofMinutes(1)));
  }

  private ExchangeResult receive(String bytes) throws Exception {
    response = bytes;
    return send(server.address(), "r1");
  }

  /** The request may have run, and its server has not ended. */
  private void assertRejected(String bytes) throws Exception {
    assertWithMessage(printable(bytes))
        .that(receive(bytes))
        .isEqualTo(new ExchangeResult.Interrupted(ExchangeFailure.MALFORMED));
  }

  private static String printable(String bytes) {
    return bytes
        .chars()
        .mapToObj(
            next ->
                next >= ' ' && next <= '~'
                    ? Character.toString(next)
                    : String.format("<%02x>", next))
        .collect(Collectors.joining());
  }

  @Test
  void aResponseWithAMalformedStatusLineIsRejected() throws Exception {
    for (String line : MalformedResponses.statusLines()) {
      assertRejected(line + "\r\n" + LENGTH + "\r\n" + BODY);
    }
  }

  @Test
  void aResponseWithAMalformedLengthIsRejected() throws Exception {
    for (String length : MalformedResponses.lengths()) {
      assertRejected(STATUS_LINE + length + "\r\n\r\n" + BODY);
      assertRejected(STATUS_LINE + length + "\r\n\r\n" + BODY.substring(5));
    }
  }

  @Test
  void aResponseWhoseNameOfTheLengthHoldsAnInvalidByteIsRejected() throws Exception {
    for (String field : MalformedResponses.fieldsWithInvalidNames("Content-Length", "10")) {
      assertRejected(STATUS_LINE + field + "\r\n\r\n" + BODY.substring(5));
    }
  }

  @Test
  void aResponseWithAMalformedTransferCodingIsRejected() throws Exception {
    for (String coding : MalformedResponses.transferCodings()) {
      assertRejected(STATUS_LINE + coding + "\r\n\r\n" + CHUNKS + "\r\n");
    }
  }

  @Test
  void aResponseWhoseNameOfTheTransferCodingHoldsAnInvalidByteIsRejected() throws Exception {
    for (String field :
        MalformedResponses.someFieldsWithInvalidNames("Transfer-Encoding", "chunked")) {
      assertRejected(STATUS_LINE + field + "\r\n\r\n" + CHUNKS + "\r\n");
    }
  }

  /** HTTP/1.0 has no transfer codings (RFC 9112, section 6.1). */
  @Test
  void aChunkedResponseOfHttp10IsRejected() throws Exception {
    assertRejected("HTTP/1.0 200 OK\r\n" + CHUNKED + "\r\n" + CHUNKS + "\r\n");
  }

  @Test
  void aResponseWithALineThatIsNoFieldIsRejected() throws Exception {
    for (String line : MalformedResponses.linesWithoutField()) {
      assertRejected(STATUS_LINE + line + "\r\n" + LENGTH + "\r\n" + BODY);
      assertRejected(STATUS_LINE + LENGTH + line + "\r\n\r\n" + BODY);
    }
  }

  @Test
  void aResponseWithANameThatHoldsAnInvalidByteIsRejected() throws Exception {
    for (String field : MalformedResponses.fieldsWithInvalidNames("X-Other", "v")) {
      assertRejected(STATUS_LINE + field + "\r\n" + LENGTH + "\r\n" + BODY);
    }
    for (String field : MalformedResponses.someFieldsWithInvalidNames("X-Other", "v")) {
      assertRejected(STATUS_LINE + LENGTH + field + "\r\n\r\n" + BODY);
    }
  }

  @Test
  void aResponseAfterAMalformedInterimOneIsRejected() throws Exception {
    for (String line :
        Iterables.concat(
            MalformedResponses.linesWithoutField(),
            MalformedResponses.someFieldsWithInvalidNames("X-Other", "v"),
            List.of("Content-Length: +1", "Transfer-Encoding: x"))) {
      assertRejected("HTTP/1.1 103 Early\r\n" + line + "\r\n\r\n" + SOUND);
    }
  }

  @Test
  void aResponseWithAMalformedSizeOfAChunkIsRejected() throws Exception {
    for (String size : MalformedResponses.chunkSizes()) {
      assertRejected(STATUS_LINE + CHUNKED + "\r\n" + size + "\r\n01234\r\n0\r\n\r\n");
      assertRejected(
          STATUS_LINE + CHUNKED + "\r\n5\r\n01234\r\n" + size + "\r\n56789\r\n0\r\n\r\n");
    }
  }

  @Test
  void aResponseWithAChunkThatIsLongerThanItsSizeIsRejected() throws Exception {
    assertRejected(STATUS_LINE + CHUNKED + "\r\n5\r\n0123456\r\n0\r\n\r\n");
  }

  /** An event would otherwise be read as a trailer, and the empty line after it as the end. */
  @Test
  void aSizeThatLostItsLastDigitDoesNotEndABody() throws Exception {
    assertRejected(STATUS_LINE + CHUNKED + "\r\n0 \r\ndata: word\n\n\r\n0\r\n\r\n");
  }

  @Test
  void aResponseWithAMalformedTrailerIsRejected() throws Exception {
    for (String line :
        Iterables.concat(
            MalformedResponses.linesWithoutField(),
            MalformedResponses.someFieldsWithInvalidNames("X-Trailer", "v"))) {
      assertRejected(STATUS_LINE + CHUNKED + "\r\n" + CHUNKS + line + "\r\n\r\n");
    }
  }

  @Test
  void aConnectionThatBroughtAMalformedResponseIsNotUsedAgain() throws Exception {
    String head = STATUS_LINE + ID_HEADER + ": r1\r\n";
    String next = STATUS_LINE + ID_HEADER + ": r2\r\n" + LENGTH + "\r\n" + BODY;
    for (String malformed :
        List.of(
            head + "Content-Length : 10\r\n\r\n" + BODY,
            head + "Content-Length: +10\r\n\r\n" + BODY,
            head + "no field\r\n" + LENGTH + "\r\n" + BODY,
            head.replace("200", "+20") + LENGTH + "\r\n" + BODY,
            head + CHUNKED + "\r\n+5\r\n01234\r\n0\r\n\r\n",
            head + CHUNKED + "\r\n" + CHUNKS + "no field\r\n\r\n")) {
      RawServer keeping = fixture.serve(List.of(malformed, next), List.of(next));

      assertThat(send(keeping.address(), "r1"))
          .isEqualTo(new ExchangeResult.Interrupted(ExchangeFailure.MALFORMED));
      assertThat(send(keeping.address(), "r2")).isInstanceOf(ExchangeResult.Response.class);
      assertWithMessage(malformed).that(keeping.connections()).isEqualTo(2);
    }
  }

  /** Shows that the test above would see a connection that is used again. */
  @Test
  void aConnectionThatBroughtAValidResponseIsUsedAgain() throws Exception {
    String first = STATUS_LINE + ID_HEADER + ": r1\r\n" + LENGTH + "\r\n" + BODY;
    String next = STATUS_LINE + ID_HEADER + ": r2\r\n" + LENGTH + "\r\n" + BODY;
    RawServer keeping = fixture.serve(List.of(first, next), List.of(next));

    assertThat(send(keeping.address(), "r1")).isInstanceOf(ExchangeResult.Response.class);
    assertThat(send(keeping.address(), "r2")).isInstanceOf(ExchangeResult.Response.class);
    assertThat(keeping.connections()).isEqualTo(1);
  }

  @Test
  void aMalformedLateResponseIsNotSkipped() throws Exception {
    keepsConnection = true;
    String firstId = ID_HEADER + ": r1\r\n";
    String own = STATUS_LINE + ID_HEADER + ": r2\r\n" + LENGTH + "\r\n" + BODY;
    for (String late :
        List.of(
            firstId + "Content-Length: +10\r\n\r\n" + BODY,
            firstId + "Content-Length : 10\r\n\r\n" + BODY,
            firstId + "no field\r\n" + LENGTH + "\r\n" + BODY,
            firstId + "X\u0001Y: v\r\n" + LENGTH + "\r\n" + BODY,
            firstId + CHUNKED + "\r\n+5\r\n01234\r\n0\r\n\r\n",
            firstId + CHUNKED + "\r\n" + CHUNKS + "no field\r\n\r\n")) {
      nextResponse = STATUS_LINE + late + own;

      ExchangeResult first = receive(STATUS_LINE + firstId + LENGTH + "\r\n" + BODY);
      ExchangeResult second = send(server.address(), "r2");

      assertThat(first).isInstanceOf(ExchangeResult.Response.class);
      assertWithMessage(printable(late))
          .that(second)
          .isEqualTo(new ExchangeResult.Interrupted(ExchangeFailure.MALFORMED));
    }
  }

  @Test
  void anUnusualResponseIsReturnedWhole() throws Exception {
    for (String unusual : UnusualResponses.all("X-Own: v\r\n")) {
      ExchangeResult result = receive(unusual);

      assertWithMessage(printable(unusual))
          .that(result)
          .isInstanceOf(ExchangeResult.Response.class);
      ExchangeResult.Response returned = (ExchangeResult.Response) result;
      assertWithMessage(printable(unusual))
          .that(new String(returned.body(), StandardCharsets.ISO_8859_1))
          .isEqualTo(UnusualResponses.BODY);
      assertWithMessage(printable(unusual)).that(returned.header("x-own")).hasValue("v");
    }
  }
}
