package dev.apricotmill.daemon.inner;

import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.engine.GenerationEnd.FinishReason;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.peer.ForwardedRequest;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.PrefixFingerprint;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.core.steward.ReplicaLoad;
import dev.apricotmill.protocol.generated.Chunk;
import dev.apricotmill.protocol.generated.Forward;
import dev.apricotmill.protocol.generated.Load;
import dev.apricotmill.protocol.generated.Usage;
import java.time.Duration;

/** Maps forwarded requests, response chunks and ends of responses to messages and back. */
final class ForwardMessages {

  private static final String PRIORITY_PREFIX = "PRIORITY_";
  private static final String FINISH_REASON_PREFIX = "FINISH_REASON_";

  private ForwardMessages() {}

  static Forward toMessage(ForwardedRequest forwarded, long nowNanos) {
    GenerationRequest request = forwarded.request();
    return Forward.newBuilder()
        .setEntry(MemberMessages.toMessage(forwarded.entry()))
        .setReplica(forwarded.replica().value())
        .setAttempt(forwarded.attempt())
        .setRequest(request.id().value())
        .setCustomer(request.customer().value())
        .setService(request.service().value())
        .setPrompt(request.prompt())
        .setPromptTokens(request.promptTokens())
        .setMaximumOutputTokens(request.maximumOutputTokens())
        .setPriority(
            EnumMessages.prefixed(
                dev.apricotmill.protocol.generated.Priority.class,
                PRIORITY_PREFIX,
                request.priority()))
        .setWeight(request.weight())
        .setPrefix(request.prefix().hash())
        .setRepeatable(request.repeatable())
        .setRemainingNanos(request.deadline().remaining(nowNanos).toNanos())
        .setResumeAt(forwarded.resumeAt())
        .setGeneratedText(forwarded.generatedText())
        .setTraceParent(forwarded.traceParent())
        .build();
  }

  static ForwardedRequest fromMessage(Forward message, Timing timing)
      throws MalformedMessageException {
    requireInRange(message);
    GenerationRequest request =
        new GenerationRequest(
            new RequestId(message.getRequest()),
            new CustomerId(message.getCustomer()),
            new ServiceName(message.getService()),
            message.getPrompt(),
            message.getPromptTokens(),
            message.getMaximumOutputTokens(),
            EnumMessages.unprefixed(Priority.class, PRIORITY_PREFIX, message.getPriority()),
            message.getWeight(),
            new PrefixFingerprint(message.getPrefix()),
            message.getRepeatable(),
            timing.deadlineAfter(Duration.ofNanos(message.getRemainingNanos())));
    return new ForwardedRequest(
        MemberMessages.fromMessage(message.getEntry()),
        new ReplicaId(message.getReplica()),
        message.getAttempt(),
        request,
        message.getResumeAt(),
        message.getGeneratedText(),
        message.getTraceParent());
  }

  static Chunk toMessage(TokenChunk chunk) {
    return Chunk.newBuilder()
        .setRequest(chunk.request().value())
        .setPosition(chunk.position())
        .setTokens(chunk.tokens())
        .setText(chunk.text())
        .build();
  }

  static TokenChunk fromMessage(Chunk message) {
    return new TokenChunk(
        new RequestId(message.getRequest()),
        message.getPosition(),
        message.getTokens(),
        message.getText());
  }

  static dev.apricotmill.protocol.generated.ForwardEnd toMessage(ForwardEnd.Reported end) {
    ForwardEnd.Usage usage = end.usage();
    return dev.apricotmill.protocol.generated.ForwardEnd.newBuilder()
        .setOutcome(OutcomeMessages.toMessage(end.outcome()))
        .setUsage(
            Usage.newBuilder()
                .setPromptTokens(usage.promptTokens())
                .setOutputTokens(usage.outputTokens())
                .setFinishReason(
                    EnumMessages.prefixed(
                        dev.apricotmill.protocol.generated.FinishReason.class,
                        FINISH_REASON_PREFIX,
                        usage.finishReason())))
        .setLoad(toMessage(end.load()))
        .build();
  }

  static ForwardEnd.Reported fromMessage(dev.apricotmill.protocol.generated.ForwardEnd message)
      throws MalformedMessageException {
    Usage usage = message.getUsage();
    return new ForwardEnd.Reported(
        OutcomeMessages.fromMessage(message.getOutcome()),
        new ForwardEnd.Usage(
            usage.getPromptTokens(),
            usage.getOutputTokens(),
            EnumMessages.unprefixed(
                FinishReason.class, FINISH_REASON_PREFIX, usage.getFinishReason())),
        fromMessage(message.getLoad()));
  }

  private static Load toMessage(ReplicaLoad load) {
    return Load.newBuilder()
        .setMemoryTokens(load.memoryTokens())
        .setReservedTokens(load.reservedTokens())
        .setQueuedRequests(load.queuedRequests())
        .setQueuedPromptTokens(load.queuedPromptTokens())
        .setShortPromptTokens(load.shortPromptTokens())
        .setMediumPromptTokens(load.mediumPromptTokens())
        .setLongPromptTokens(load.longPromptTokens())
        .setLongPrompts(load.longPrompts())
        .setPrefillTokensPerSecond(load.prefillTokensPerSecond())
        .setTimeToFirstTokenNanos(load.timeToFirstToken().toNanos())
        .build();
  }

  private static ReplicaLoad fromMessage(Load message) {
    return new ReplicaLoad(
        message.getMemoryTokens(),
        message.getReservedTokens(),
        message.getQueuedRequests(),
        message.getQueuedPromptTokens(),
        message.getShortPromptTokens(),
        message.getMediumPromptTokens(),
        message.getLongPromptTokens(),
        message.getLongPrompts(),
        message.getPrefillTokensPerSecond(),
        Duration.ofNanos(message.getTimeToFirstTokenNanos()));
  }

  private static void requireInRange(Forward message) throws MalformedMessageException {
    if (message.getPromptTokens() < 0
        || message.getMaximumOutputTokens() < 1
        || message.getWeight() < 1
        || message.getAttempt() < 1
        || message.getResumeAt() < 0
        || message.getRemainingNanos() < 0) {
      throw new MalformedMessageException(
          "forwarded request: expected promptTokens, resumeAt and remainingNanos >= 0,"
              + " maximumOutputTokens, weight and attempt >= 1; got promptTokens "
              + message.getPromptTokens()
              + ", resumeAt "
              + message.getResumeAt()
              + ", remainingNanos "
              + message.getRemainingNanos()
              + ", maximumOutputTokens "
              + message.getMaximumOutputTokens()
              + ", weight "
              + message.getWeight()
              + ", attempt "
              + message.getAttempt());
    }
  }
}
