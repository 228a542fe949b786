package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a server's second response that is taken for the response to a later request. */
final class LateResponseTest {

  private static final String ID = "x-id";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

  private final AdapterFixture fixture = new AdapterFixture();
  private final List<String> lateResponses = new CopyOnWriteArrayList<>();
  private final HttpClients clients =
      HttpClients.start(
          HttpClientSettings.DEFAULTS,
          fixture.timing(),
          (id, status) -> lateResponses.add(id + " " + status));

  LateResponseTest() {
    fixture.closeAtEnd(clients::close);
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  @Test
  void aRequestIsNotSentAgainOnAConnectionThatHasCarriedIt() throws Exception {
    PeerAddress server =
        fixture
            .serve(
                ImmutableList.of(response("r1", 500, "failed"), response("r1", 200, "late")),
                ImmutableList.of(response("r1", 500, "failed again")))
            .address();

    assertThat(send(server, "GET", "r1")).isEqualTo("500 failed");
    assertThat(send(server, "GET", "r1")).isEqualTo("500 failed again");
  }

  @Test
  void aLateResponseDoesNotFailTheNextRequest() throws Exception {
    for (String late :
        List.of(
            response("r1", 200, "late"),
            response("r1", 200, ""),
            head("r1", 200) + CHUNKED + "4\r\nlate\r\n0\r\nX-T: t\r\n\r\n",
            response("r1", 200, "x".repeat(60_000)))) {
      PeerAddress server =
          fixture.serve(
              ImmutableList.of(response("r1", 200, "one"), late + response("r2", 201, "two")));

      assertThat(send(server, "POST", "r1")).isEqualTo("200 one");
      assertWithMessage(late).that(send(server, "POST", "r2")).isEqualTo("201 two");
    }
    assertThat(lateResponses).containsExactly("r1 200", "r1 200", "r1 200", "r1 200").inOrder();
  }

  @Test
  void aConnectionWithBytesAfterACompleteResponseIsNotUsedAgain() throws Exception {
    String late = response("r1", 200, "late body");
    for (int length = 1; length <= late.length(); length++) {
      PeerAddress server =
          fixture
              .serve(
                  ImmutableList.of(
                      response("r1", 200, "one") + late.substring(0, length),
                      late.substring(length) + response("r2", 500, "failed")),
                  ImmutableList.of(response("r2", 500, "failed")))
              .address();

      assertThat(send(server, "GET", "r1")).isEqualTo("200 one");
      assertWithMessage("after %s bytes", length)
          .that(send(server, "GET", "r2"))
          .isEqualTo("500 failed");
    }
    assertThat(lateResponses).isEmpty();
  }

  /** A part of a late response that is lost would be replaced by the begin of the next response. */
  @Test
  void aLateResponseThatIsCutShortIsNotCompletedByTheNextResponse() throws Exception {
    List<String> lateResponsesInFull =
        List.of(
            response("r1", 200, "late".repeat(100)),
            head("r1", 200)
                + CHUNKED
                + "c8; a=b\r\n"
                + "late".repeat(50)
                + "\r\n0\r\nX-T: trailer\r\n\r\n");
    for (String late : lateResponsesInFull) {
      for (int length = 1; length < late.length(); length++) {
        PeerAddress server =
            fixture.serve(
                ImmutableList.of(
                    response("r1", 200, "one"),
                    late.substring(0, length)
                        + head("r2", 500)
                        + "Content-Length: 0\r\n\r\n"
                        + response("r2", 200, "late")));

        assertThat(send(server, "GET", "r1")).isEqualTo("200 one");
        assertWithMessage("after %s", late.substring(0, length))
            .that(send(server, "GET", "r2"))
            .doesNotContain("200 ");
      }
    }
  }

  @Test
  void aResponseThatNamesNoRequestOfTheConnectionIsPassedOnAsItIs() throws Exception {
    PeerAddress server =
        fixture.serve(ImmutableList.of(response("r1", 200, "one"), response("r0", 200, "other")));

    assertThat(send(server, "GET", "r1")).isEqualTo("200 one");
    assertThat(send(server, "GET", "r2")).isEqualTo("200 other for r0");
    assertThat(lateResponses).isEmpty();
  }

  @Test
  void aLateResponseWithoutAShortLengthFailsTheNextRequest() throws Exception {
    for (String late :
        List.of(
            head("r1", 200) + "\r\nlate",
            response("r1", 200, "x".repeat(70_000)),
            head("r1", 204) + "\r\n" + response("r2", 200, "two"))) {
      PeerAddress server = fixture.serve(ImmutableList.of(response("r1", 200, "one"), late));

      assertThat(send(server, "GET", "r1")).isEqualTo("200 one");
      assertWithMessage(late).that(send(server, "GET", "r2")).contains(" for r1");
    }
  }

  /** The length of a response to HEAD would be that of the next response. */
  @Test
  void nothingIsSkippedOnAConnectionThatHasCarriedAHeadRequest() throws Exception {
    String late = head("r1", 200) + "Content-Length: 100\r\n\r\n";
    PeerAddress server =
        fixture.serve(ImmutableList.of(late, late + response("r2", 200, "x".repeat(200))));

    assertThat(send(server, "HEAD", "r1")).isEqualTo("200 ");
    assertThat(send(server, "GET", "r2")).contains(" for r1");
    assertThat(lateResponses).isEmpty();
  }

  @Test
  void noMoreResponsesAreSkippedThanRequestsWereSent() throws Exception {
    String late = response("r1", 200, "late");
    PeerAddress server =
        fixture.serve(
            ImmutableList.of(
                response("r1", 200, "one"), late.repeat(3) + response("r2", 200, "two")));

    assertThat(send(server, "GET", "r1")).isEqualTo("200 one");
    assertThat(send(server, "GET", "r2")).isEqualTo("200 late for r1");
  }

  @Test
  void aConnectionThatHasCarriedItsMaximumOfRequestsIsClosed() throws Exception {
    ImmutableList.Builder<String> first = ImmutableList.builder();
    for (int request = 0; request < ConnectionExchanges.MAXIMUM_EXCHANGES; request++) {
      first.add(response("r" + request, 200, "first"));
    }
    PeerAddress server =
        fixture.serve(first.build(), ImmutableList.of(response("last", 200, "second"))).address();

    for (int request = 0; request < ConnectionExchanges.MAXIMUM_EXCHANGES; request++) {
      assertThat(send(server, "GET", "r" + request)).isEqualTo("200 first");
    }
    assertThat(send(server, "GET", "last")).isEqualTo("200 second");
  }

  private static String response(String id, int status, String body) {
    return head(id, status) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static String head(String id, int status) {
    return "HTTP/1.1 " + status + " Status\r\n" + ID + ": " + id + "\r\n";
  }

  /** Returns the status and body of the response, and whose it is if it is of another request. */
  private String send(PeerAddress server, String method, String id)
      throws ExecutionException, InterruptedException, TimeoutException {
    HttpCall call =
        new HttpCall(method, "/", ImmutableMap.of(ID, id), null, new byte[0])
            .withExchangeId(ExchangeId.namedIn(ID, id));
    CompletableFuture<String> outcome = new CompletableFuture<>();
    clients.stream(server, call, new OutcomeListener(id, outcome), Duration.ofSeconds(5));
    return AdapterFixture.await(outcome);
  }

  private static final class OutcomeListener implements StreamedResponseListener {

    private final String id;
    private final CompletableFuture<String> outcome;
    private final StringBuilder text = new StringBuilder();
    private String suffix = "";

    OutcomeListener(String id, CompletableFuture<String> outcome) {
      this.id = id;
      this.outcome = outcome;
    }

    @Override
    public boolean onHead(HttpResponse head) {
      text.append(head.getCode()).append(' ');
      Header named = head.getFirstHeader(ID);
      if (!named.getValue().equals(id)) {
        suffix = " for " + named.getValue();
      }
      return true;
    }

    @Override
    public void onBody(byte[] chunk) {
      text.append(new String(chunk, StandardCharsets.US_ASCII));
    }

    @Override
    public void onComplete() {
      outcome.complete(text + suffix);
    }

    @Override
    public void onFailure(boolean sent, ExchangeFailure failure) {
      outcome.complete(failure + " " + text + suffix);
    }
  }
}
