package dev.apricotmill.adapters;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.NHttpMessageParserFactory;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** Creates the handlers of client connections, which read heads and trailers of bounded size. */
final class BoundedClientHandlerFactory implements IOEventHandlerFactory {

  private final HttpProcessor processor;
  private final Http1Config config;
  private final int maximumHeadBytes;
  private final NHttpMessageParserFactory<HttpResponse> parsers;
  private final LateResponseListener lateResponses;

  /**
   * Creates a factory.
   *
   * @param maximumHeadBytes the maximum size of a head, and of trailers
   * @param lateResponses receives the responses that are skipped
   */
  BoundedClientHandlerFactory(
      HttpProcessor processor,
      Http1Config config,
      int maximumHeadBytes,
      LateResponseListener lateResponses) {
    this.processor = processor;
    this.config = config;
    this.maximumHeadBytes = maximumHeadBytes;
    this.lateResponses = lateResponses;
    parsers =
        CompleteHeadParser.factory(new DefaultHttpResponseParserFactory(config), maximumHeadBytes);
  }

  @Override
  public IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
    ConnectionExchanges exchanges = new ConnectionExchanges();
    OwnResponseParser parser =
        new OwnResponseParser(new ResponseHeadParser(parsers.create()), exchanges, lateResponses);
    return new BoundedClientHandler(
        new BoundedDuplexer(new BoundedFillSession(session), parser), exchanges, parser);
  }

  private final class BoundedDuplexer extends ClientHttp1StreamDuplexer {

    BoundedDuplexer(ProtocolIOSession session, OwnResponseParser parser) {
      super(
          session,
          processor,
          config,
          CharCodingConfig.DEFAULT,
          DefaultConnectionReuseStrategy.INSTANCE,
          parser,
          DefaultHttpRequestWriterFactory.INSTANCE.create(),
          DefaultContentLengthStrategy.INSTANCE,
          DefaultContentLengthStrategy.INSTANCE,
          /* streamListener= */ null);
    }

    @Override
    protected ContentDecoder createContentDecoder(
        long length,
        ReadableByteChannel channel,
        SessionInputBuffer input,
        BasicHttpTransportMetrics metrics)
        throws HttpException {
      SessionInputBuffer checked =
          length == ContentLengthStrategy.CHUNKED
              ? new LineCheckingBuffer(input, new ChunkLines())
              : input;
      return BoundedChunkDecoder.bound(
          channel,
          input,
          maximumHeadBytes,
          counted -> super.createContentDecoder(length, counted, checked, metrics));
    }
  }
}
