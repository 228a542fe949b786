package dev.apricotmill.daemon.callers;

import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.daemon.http.CompleteResponse;
import dev.apricotmill.daemon.http.EarlyRefusal;
import dev.apricotmill.daemon.http.IncomingRequest;
import dev.apricotmill.daemon.http.RequestHandler;
import dev.apricotmill.daemon.http.ResponseSender;
import dev.apricotmill.node.api.RequestEntry;
import java.time.Duration;
import java.time.InstantSource;

/** Routes the requests of the public HTTP API and refuses malformed ones. */
public final class CallerHandler implements RequestHandler {

  private static final String COMPLETIONS = "/v1/completions";
  private static final String CHAT_COMPLETIONS = "/v1/chat/completions";
  private static final String POST = "POST";

  private final RequestIds ids;
  private final CompletionHandler completions;
  private final CompletionHandler chatCompletions;
  private final ServiceHandler services;

  /** Creates a handler that submits valid requests to {@code entry}. */
  public CallerHandler(
      RequestEntry entry, InstantSource clock, RequestIds ids, Duration maximumTimeLimit) {
    this.ids = ids;
    completions = new CompletionHandler(CompletionForm.TEXT, entry, clock, maximumTimeLimit);
    chatCompletions = new CompletionHandler(CompletionForm.CHAT, entry, clock, maximumTimeLimit);
    services = new ServiceHandler(entry, maximumTimeLimit);
  }

  @Override
  public void handle(IncomingRequest request, ResponseSender sender) {
    RequestId id = ids.next();
    try {
      route(id, request, sender);
    } catch (ClientErrorException e) {
      CompleteResponse problem = ProblemDetails.of(id, e);
      sender.send(
          e.error() == ClientError.WRONG_METHOD
              ? problem.withHeader(CallerHeaders.ALLOW, POST)
              : problem);
    }
  }

  @Override
  public CompleteResponse refuse(EarlyRefusal refusal) {
    return ProblemDetails.of(ids.next(), refusal);
  }

  private void route(RequestId id, IncomingRequest request, ResponseSender sender)
      throws ClientErrorException {
    if (ServicePath.isServiceTarget(request.path())) {
      services.handle(id, request, sender);
      return;
    }
    switch (request.path()) {
      case COMPLETIONS -> {
        requirePost(request);
        completions.handle(id, request, sender);
      }
      case CHAT_COMPLETIONS -> {
        requirePost(request);
        chatCompletions.handle(id, request, sender);
      }
      default -> throw new ClientErrorException(ClientError.NO_SUCH_PATH, "");
    }
  }

  private static void requirePost(IncomingRequest request) throws ClientErrorException {
    if (!request.method().equals(POST)) {
      throw new ClientErrorException(ClientError.WRONG_METHOD, "");
    }
  }
}
