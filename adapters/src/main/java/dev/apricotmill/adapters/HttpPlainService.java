package dev.apricotmill.adapters;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.request.ServiceCall;
import dev.apricotmill.core.service.CallResult;
import dev.apricotmill.core.service.PlainService;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletionStage;
import java.util.stream.Stream;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;

/** Calls plain services over HTTP/1.1. */
public final class HttpPlainService implements PlainService {

  private static final int MAXIMUM_RESPONSE_BYTES = 4 << 20;
  private static final String REQUEST_ID_HEADER = "apricotmill-request-id";
  private static final String CONTENT_TYPE_HEADER = "content-type";

  private final HttpClients clients;

  /** Creates the adapter on a shared client. */
  public HttpPlainService(HttpClients clients) {
    this.clients = clients;
  }

  @Override
  public CompletionStage<CallResult> call(Replica replica, ServiceCall call, Duration timeout) {
    return clients
        .send(replica.address(), httpCall(call), MAXIMUM_RESPONSE_BYTES, timeout)
        .thenApply(HttpPlainService::callResult);
  }

  private static HttpCall httpCall(ServiceCall call) {
    ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
    call.headers().entrySet().stream()
        .filter(header -> !ConnectionHeaders.contains(header.getKey()))
        .filter(header -> !header.getKey().equals(CONTENT_TYPE_HEADER))
        .forEach(headers::put);
    headers.put(REQUEST_ID_HEADER, call.id().value());
    String contentType = call.headers().getOrDefault(CONTENT_TYPE_HEADER, "");
    return new HttpCall(
            call.method(),
            call.path(),
            headers.buildKeepingLast(),
            ContentType.parseLenient(contentType),
            call.body())
        .withExchangeId(ExchangeId.namedIn(REQUEST_ID_HEADER, call.id().value()));
  }

  private static CallResult callResult(ExchangeResult result) {
    if (result instanceof ExchangeResult.Response response) {
      return new CallResult.Response(response.status(), headersOf(response), response.body());
    }
    return result instanceof ExchangeResult.NotSent
        ? new CallResult.NotSent()
        : new CallResult.Lost();
  }

  private static ImmutableMap<String, String> headersOf(ExchangeResult.Response response) {
    ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
    Stream.of(response.head().getHeaders())
        .filter(header -> !ConnectionHeaders.contains(lowerCaseName(header)))
        .filter(header -> !lowerCaseName(header).equals(REQUEST_ID_HEADER))
        .forEach(header -> headers.put(lowerCaseName(header), header.getValue()));
    return headers.buildKeepingLast();
  }

  private static String lowerCaseName(Header header) {
    return header.getName().toLowerCase(Locale.ROOT);
  }
}
