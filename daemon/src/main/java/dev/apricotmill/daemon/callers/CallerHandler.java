package dev.apricotmill.daemon.callers;

import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.daemon.http.Answer;
import dev.apricotmill.daemon.http.EdgeFault;
import dev.apricotmill.daemon.http.IncomingRequest;
import dev.apricotmill.daemon.http.Reply;
import dev.apricotmill.daemon.http.RequestHandler;
import dev.apricotmill.node.api.RequestEntry;
import java.time.Duration;
import java.time.InstantSource;

/** Routes the requests of the callers' port and answers those that are not well formed. */
public final class CallerHandler implements RequestHandler {

  private static final String COMPLETIONS = "/v1/completions";
  private static final String CHAT_COMPLETIONS = "/v1/chat/completions";
  private static final String POST = "POST";

  private final RequestIds ids;
  private final CompletionHandler completions;
  private final CompletionHandler chatCompletions;
  private final ServiceHandler services;

  /** Creates the handler in front of {@code entry}. */
  public CallerHandler(
      RequestEntry entry, InstantSource clock, RequestIds ids, Duration maximumTimeLimit) {
    this.ids = ids;
    completions = new CompletionHandler(CompletionForm.TEXT, entry, clock, maximumTimeLimit);
    chatCompletions = new CompletionHandler(CompletionForm.CHAT, entry, clock, maximumTimeLimit);
    services = new ServiceHandler(entry, maximumTimeLimit);
  }

  @Override
  public void handle(IncomingRequest request, Reply reply) {
    RequestId id = ids.next();
    try {
      route(id, request, reply);
    } catch (CallerFaultException e) {
      Answer problem = Problems.of(id, e);
      reply.send(
          e.fault() == CallerFault.WRONG_METHOD
              ? problem.withHeader(CallerHeaders.ALLOW, POST)
              : problem);
    }
  }

  @Override
  public Answer refuse(EdgeFault fault) {
    return Problems.of(ids.next(), fault);
  }

  private void route(RequestId id, IncomingRequest request, Reply reply)
      throws CallerFaultException {
    if (ServicePath.matches(request.path())) {
      services.handle(id, request, reply);
      return;
    }
    switch (request.path()) {
      case COMPLETIONS -> {
        requirePost(request);
        completions.handle(id, request, reply);
      }
      case CHAT_COMPLETIONS -> {
        requirePost(request);
        chatCompletions.handle(id, request, reply);
      }
      default -> throw new CallerFaultException(CallerFault.NO_SUCH_PATH, "");
    }
  }

  private static void requirePost(IncomingRequest request) throws CallerFaultException {
    if (!request.method().equals(POST)) {
      throw new CallerFaultException(CallerFault.WRONG_METHOD, "");
    }
  }
}
