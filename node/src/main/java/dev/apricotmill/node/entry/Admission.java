package dev.apricotmill.node.entry;

import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.Rule;
import dev.apricotmill.core.configuration.Service;
import dev.apricotmill.core.outcome.Outcome;
import java.time.Duration;

/** Whether a submission may go on, from the caller's key, the rules and the limits. */
public sealed interface Admission {

  /**
   * The submission may go on.
   *
   * @param customer who asked
   * @param service the service
   * @param repetition whether it may run twice
   * @param timeLimit the time that it may take
   */
  record Admitted(
      Customer customer, Service service, Rule.Repetition repetition, Duration timeLimit)
      implements Admission {}

  /**
   * The submission is refused and has not run.
   *
   * @param outcome the refusal
   */
  record Rejected(Outcome.Refused outcome) implements Admission {}
}
