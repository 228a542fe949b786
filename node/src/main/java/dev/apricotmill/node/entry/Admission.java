package dev.apricotmill.node.entry;

import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.Rule;
import dev.apricotmill.core.configuration.Service;
import dev.apricotmill.core.outcome.Outcome;
import java.time.Duration;

/** The admission decision on a submission, made from the caller's key, the rules and the limits. */
public sealed interface Admission {

  /**
   * The submission is admitted.
   *
   * @param customer the customer that the caller's key belongs to
   * @param service the service
   * @param repetition whether it may run more than once
   * @param timeLimit the time limit of the request
   */
  record Admitted(
      Customer customer, Service service, Rule.Repetition repetition, Duration timeLimit)
      implements Admission {}

  /**
   * The submission is refused; it has not run.
   *
   * @param outcome the refusal
   */
  record Rejected(Outcome.Refused outcome) implements Admission {}
}
