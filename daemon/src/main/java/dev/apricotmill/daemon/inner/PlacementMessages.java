package dev.apricotmill.daemon.inner;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.pool.LimitedServers;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.protocol.generated.BrokenOffWork;
import dev.apricotmill.protocol.generated.GrantedWork;
import dev.apricotmill.protocol.generated.LeavingServer;
import dev.apricotmill.protocol.generated.LimitedServer;
import dev.apricotmill.protocol.generated.PlaceWork;
import dev.apricotmill.protocol.generated.RunningWork;
import dev.apricotmill.protocol.generated.WorkEvent;
import dev.apricotmill.protocol.generated.WorkPlaced;
import dev.apricotmill.protocol.generated.WrittenPart;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/** Maps placement requests, decisions and reports to messages and back. */
final class PlacementMessages {

  private PlacementMessages() {}

  static PlaceWork toMessage(PlacementRequest request) {
    PlaceWork.Builder message =
        PlaceWork.newBuilder()
            .setRequest(request.requestId().value())
            .setService(request.service().value())
            .setPromptTokens(request.size().promptTokens())
            .setMaximumOutputTokens(request.size().maximumOutputTokens())
            .setGoalMillis(request.firstEventTarget().toMillis())
            .setPauseGoalMillis(request.eventGapTarget().toMillis())
            .setRemainingMillis(Math.max(0, request.remainingTime().toMillis()));
    request.excludedServers().forEach(server -> message.addAvoid(server.value()));
    message.addAllPromptParts(request.promptParts().ids());
    return message.build();
  }

  static PlacementRequest fromMessage(PlaceWork message) {
    return new PlacementRequest(
        new RequestId(message.getRequest()),
        new ServiceName(message.getService()),
        new GenerationSize(message.getPromptTokens(), message.getMaximumOutputTokens()),
        new PromptParts(ImmutableList.copyOf(message.getPromptPartsList())),
        Duration.ofMillis(message.getGoalMillis()),
        Duration.ofMillis(message.getPauseGoalMillis()),
        Duration.ofMillis(message.getRemainingMillis()),
        message.getAvoidList().stream().map(ReplicaId::new).collect(ImmutableSet.toImmutableSet()));
  }

  static WorkPlaced toMessage(Optional<Placement> decision) {
    WorkPlaced.Builder message = WorkPlaced.newBuilder();
    if (decision.isEmpty()) {
      message.setDeclined(true);
    } else if (decision.get() instanceof Placement.Granted granted) {
      message.setGranted(toMessage(granted));
    } else if (decision.get() instanceof Placement.Full full) {
      message.setComeBackMillis(full.retryAfter().toMillis());
    } else if (decision.get() instanceof Placement.Blocked blocked) {
      message.setBlockedPart(blocked.part());
    }
    return message.build();
  }

  static Optional<Placement> fromMessage(WorkPlaced message) {
    return switch (message.getDecisionCase()) {
      case GRANTED -> Optional.of(fromMessage(message.getGranted()));
      case COME_BACK_MILLIS ->
          Optional.of(new Placement.Full(Duration.ofMillis(message.getComeBackMillis())));
      case BLOCKED_PART -> Optional.of(new Placement.Blocked(message.getBlockedPart()));
      case DECLINED, DECISION_NOT_SET -> Optional.empty();
    };
  }

  static WorkEvent toMessage(WorkReport report) {
    WorkEvent.Builder message = WorkEvent.newBuilder().setService(report.service().value());
    if (report instanceof WorkReport.FirstEvent first) {
      message.setRequest(first.request().value()).setFirstEvent(true);
    } else if (report instanceof WorkReport.Ended ended) {
      message.setRequest(ended.request().value()).setEnded(true).setCompleted(ended.completed());
    } else if (report instanceof WorkReport.Failed failed) {
      message.setFailedServer(failed.server().value()).setUnreachable(failed.unreachable());
    } else if (report instanceof WorkReport.Running running) {
      message.setRunning(
          RunningWork.newBuilder()
              .setAsk(toMessage(running.request()))
              .setGranted(toMessage(running.placement()))
              .setReading(running.prefilling()));
    } else if (report instanceof WorkReport.BrokenOff broken) {
      message.setBrokenOff(
          BrokenOffWork.newBuilder()
              .setServer(broken.server().value())
              .addAllPromptParts(broken.promptParts().ids())
              .setAgeMillis(broken.age().toMillis()));
    } else if (report instanceof WorkReport.PartWritten written) {
      message.setWrittenPart(
          WrittenPart.newBuilder()
              .setPart(written.part())
              .setWeight(written.weight())
              .setAgeMillis(written.age().toMillis()));
    } else if (report instanceof WorkReport.PartBlocked blocked) {
      message.setBlockedPart(blocked.part());
    } else if (report instanceof WorkReport.Leaving leaving) {
      message.setLeavingServer(
          LeavingServer.newBuilder()
              .setServer(leaving.server().value())
              .setStartedMillis(leaving.startedMillis()));
    } else if (report instanceof WorkReport.Limited limited) {
      message.setLimitedServer(toMessage(limited));
    }
    return message.build();
  }

  static Optional<WorkReport> fromMessage(WorkEvent message) {
    ServiceName service = new ServiceName(message.getService());
    RequestId request = new RequestId(message.getRequest());
    return switch (message.getEventCase()) {
      case FIRST_EVENT -> Optional.of(new WorkReport.FirstEvent(service, request));
      case ENDED -> Optional.of(new WorkReport.Ended(service, request, message.getCompleted()));
      case FAILED_SERVER ->
          Optional.of(
              new WorkReport.Failed(
                  service, new ReplicaId(message.getFailedServer()), message.getUnreachable()));
      case RUNNING -> Optional.of(fromMessage(message.getRunning()));
      case BROKEN_OFF -> Optional.of(fromMessage(service, message.getBrokenOff()));
      case WRITTEN_PART -> Optional.of(fromMessage(service, message.getWrittenPart()));
      case BLOCKED_PART ->
          Optional.of(new WorkReport.PartBlocked(service, message.getBlockedPart()));
      case LEAVING_SERVER -> Optional.of(fromMessage(service, message.getLeavingServer()));
      case LIMITED_SERVER -> Optional.of(fromMessage(service, message.getLimitedServer()));
      case EVENT_NOT_SET -> Optional.empty();
    };
  }

  private static LimitedServer toMessage(WorkReport.Limited limited) {
    LimitedServer.Builder message =
        LimitedServer.newBuilder()
            .setServer(limited.instance().server().value())
            .setStartedMillis(limited.instance().startedMillis())
            .setAgeMillis(limited.age().toMillis());
    limited.requestsPerSecond().ifPresent(message::setRequestsPerSecond);
    return message.build();
  }

  private static WorkReport fromMessage(ServiceName service, LimitedServer message) {
    return new WorkReport.Limited(
        service,
        new LimitedServers.Instance(new ReplicaId(message.getServer()), message.getStartedMillis()),
        message.hasRequestsPerSecond()
            ? OptionalDouble.of(message.getRequestsPerSecond())
            : OptionalDouble.empty(),
        Duration.ofMillis(message.getAgeMillis()));
  }

  private static WorkReport fromMessage(ServiceName service, BrokenOffWork message) {
    return new WorkReport.BrokenOff(
        service,
        new ReplicaId(message.getServer()),
        new PromptParts(ImmutableList.copyOf(message.getPromptPartsList())),
        Duration.ofMillis(message.getAgeMillis()));
  }

  private static WorkReport fromMessage(ServiceName service, WrittenPart message) {
    return new WorkReport.PartWritten(
        service, message.getPart(), message.getWeight(), Duration.ofMillis(message.getAgeMillis()));
  }

  private static WorkReport fromMessage(ServiceName service, LeavingServer message) {
    return new WorkReport.Leaving(
        service, new ReplicaId(message.getServer()), message.getStartedMillis());
  }

  private static WorkReport fromMessage(RunningWork message) {
    return new WorkReport.Running(
        fromMessage(message.getAsk()), fromMessage(message.getGranted()), message.getReading());
  }

  private static GrantedWork toMessage(Placement.Granted granted) {
    GrantedWork.Builder message =
        GrantedWork.newBuilder()
            .setServer(granted.server().value())
            .setExpectedMillis(granted.expectedFirstEvent().toMillis())
            .setReservedTokens(granted.reservedTokens());
    granted.helpers().forEach(helper -> message.addHelpers(helper.value()));
    granted.requestsPerSecond().ifPresent(message::setRequestsPerSecond);
    return message.build();
  }

  private static Placement.Granted fromMessage(GrantedWork message) {
    return new Placement.Granted(
        new ReplicaId(message.getServer()),
        message.getHelpersList().stream()
            .map(ReplicaId::new)
            .collect(ImmutableList.toImmutableList()),
        Duration.ofMillis(message.getExpectedMillis()),
        message.getReservedTokens(),
        message.hasRequestsPerSecond()
            ? OptionalDouble.of(message.getRequestsPerSecond())
            : OptionalDouble.empty());
  }
}
