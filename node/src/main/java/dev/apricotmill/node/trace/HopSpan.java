package dev.apricotmill.node.trace;

import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.request.RequestId;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/** The tracing span of one hop of a request. */
public final class HopSpan {

  private static final AttributeKey<String> REQUEST = AttributeKey.stringKey("request.id");
  private static final AttributeKey<String> OUTCOME = AttributeKey.stringKey("request.outcome");
  private static final String TRACE_PARENT = "traceparent";
  private static final W3CTraceContextPropagator PROPAGATOR =
      W3CTraceContextPropagator.getInstance();

  private final Span span;

  private HopSpan(Span span) {
    this.span = span;
  }

  /**
   * Starts a span.
   *
   * @param tracer creates the span
   * @param name the hop, such as {@code entry}
   * @param request the request
   * @param traceParent the W3C trace context of the previous hop, empty if none
   */
  public static HopSpan start(Tracer tracer, String name, RequestId request, String traceParent) {
    Context parent = PROPAGATOR.extract(Context.root(), traceParent, TraceParentGetter.INSTANCE);
    Span span =
        tracer
            .spanBuilder(name)
            .setParent(parent)
            .setAttribute(REQUEST, request.value())
            .startSpan();
    return new HopSpan(span);
  }

  /** Returns the W3C trace context for the next hop, empty if the span is not recorded. */
  public String traceParent() {
    AtomicReference<String> header = new AtomicReference<>("");
    PROPAGATOR.inject(
        Context.root().with(span),
        header,
        (carrier, key, value) -> {
          if (carrier != null && key.equals(TRACE_PARENT)) {
            carrier.set(value);
          }
        });
    return header.get();
  }

  /** Adds an event, such as the first token. */
  public void addEvent(String name) {
    span.addEvent(name);
  }

  /** Ends the span; any outcome but {@link Outcome.Answered} sets its status to error. */
  public void end(Outcome outcome) {
    span.setAttribute(OUTCOME, outcome.headerValue());
    if (!(outcome instanceof Outcome.Answered)) {
      span.setStatus(StatusCode.ERROR);
    }
    span.end();
  }

  private enum TraceParentGetter implements TextMapGetter<String> {
    INSTANCE;

    @Override
    public @Nullable String get(@Nullable String carrier, String key) {
      return key.equals(TRACE_PARENT) ? carrier : null;
    }
  }
}
