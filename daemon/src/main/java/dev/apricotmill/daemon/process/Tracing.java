package dev.apricotmill.daemon.process;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import java.net.URI;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Creates spans, and exports them by OTLP over HTTP if an endpoint is set. */
public final class Tracing implements AutoCloseable {

  private static final String SCOPE = "dev.apricotmill";
  private static final AttributeKey<String> SERVICE_NAME = AttributeKey.stringKey("service.name");
  private static final AttributeKey<String> SERVICE_INSTANCE_ID =
      AttributeKey.stringKey("service.instance.id");
  private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

  private final SdkTracerProvider provider;

  private Tracing(SdkTracerProvider provider) {
    this.provider = provider;
  }

  /** Starts tracing for a daemon; spans are not exported if {@code otlpEndpoint} is empty. */
  public static Tracing start(String daemon, Optional<URI> otlpEndpoint) {
    Resource resource =
        Resource.builder()
            .put(SERVICE_NAME, "apricotmilld")
            .put(SERVICE_INSTANCE_ID, daemon)
            .build();
    SdkTracerProviderBuilder builder = SdkTracerProvider.builder().setResource(resource);
    otlpEndpoint.ifPresent(
        endpoint ->
            builder.addSpanProcessor(
                BatchSpanProcessor.builder(
                        OtlpHttpSpanExporter.builder().setEndpoint(endpoint.toString()).build())
                    .build()));
    return new Tracing(builder.build());
  }

  /** Returns the daemon's tracer. */
  public Tracer tracer() {
    return provider.get(SCOPE);
  }

  @Override
  public void close() {
    provider.shutdown().join(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
