package dev.apricotmill.daemon.http;

import java.net.URI;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpRequestFactory;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/**
 * Creates requests whose path is the target as it was sent.
 *
 * <p>The library parses each target as a URI: it takes the first segment of a target with two
 * leading slashes for a host, and drops a scheme or fragment. Here only an absolute HTTP address,
 * which a client sends to a proxy, is parsed.
 */
final class RequestTargetFactory implements HttpRequestFactory<HttpRequest> {

  private static final Pattern ABSOLUTE_ADDRESS = Pattern.compile("(?i)https?://[^/?#]+/.*");

  @Override
  public HttpRequest newHttpRequest(String method, String target) {
    if (ABSOLUTE_ADDRESS.matcher(target).matches()) {
      return new BasicHttpRequest(method, target);
    }
    BasicHttpRequest request = new BasicHttpRequest(method, "/");
    request.setPath(target);
    return request;
  }

  @Override
  public HttpRequest newHttpRequest(String method, URI address) {
    return new BasicHttpRequest(method, address);
  }
}
