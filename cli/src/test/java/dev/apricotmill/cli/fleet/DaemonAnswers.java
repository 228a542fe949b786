package dev.apricotmill.cli.fleet;

import dev.apricotmill.cli.command.OperatorAnswer;

/** Answers of operators' ports. */
final class DaemonAnswers {
  private DaemonAnswers() {}

  static OperatorAnswer status(String phase, long generation, int openRequests) {
    return status("d-1", phase, generation, openRequests);
  }

  static OperatorAnswer status(String daemon, String phase, long generation, int openRequests) {
    String body =
        """
        {"daemon": "%s", "incarnation": 1, "zone": "lisbon-1", "phase": "%s",
         "configuration_generation": %d, "platform_reachable": true, "open_requests": %d,
         "members": [],
         "replicas": [{"replica": "engine-1", "steward": "d-1", "usable": true,
           "memory_tokens": 1000, "reserved_tokens": 250, "queued_requests": 2}]}
        """
            .formatted(daemon, phase, generation, openRequests);
    return new OperatorAnswer.Answered(200, body);
  }
}
