package dev.apricotmill.node.relay;

import java.time.Duration;

/**
 * Limits of the relay.
 *
 * @param maxConfigurationStaleness the time since the last validation of the configuration beyond
 *     which no key is accepted
 * @param configurationBound the time within which a confirmed configuration must be in force; a
 *     configuration that was validated earlier cannot tell that a route or a key does not exist
 * @param defaultTimeout how long a request may take if its caller sets no timeout
 * @param retriesPerThousandRequests retries that each thousand requests of a service add to its
 *     budget
 * @param retryReserve retries that all nodes together may save up for a service
 * @param maximumBufferedBytes the maximum total size of what is buffered of the responses of all
 *     servers
 * @param weighsAnswers whether servers of services without engines are granted by the dispatcher,
 *     which weighs how they answer; otherwise each node chooses by its own open requests
 */
public record RelaySettings(
    Duration maxConfigurationStaleness,
    Duration configurationBound,
    Duration defaultTimeout,
    int retriesPerThousandRequests,
    int retryReserve,
    long maximumBufferedBytes,
    boolean weighsAnswers) {

  /** Creates limits of a relay that chooses servers without engines by open requests only. */
  public RelaySettings(
      Duration maxConfigurationStaleness,
      Duration configurationBound,
      Duration defaultTimeout,
      int retriesPerThousandRequests,
      int retryReserve,
      long maximumBufferedBytes) {
    this(
        maxConfigurationStaleness,
        configurationBound,
        defaultTimeout,
        retriesPerThousandRequests,
        retryReserve,
        maximumBufferedBytes,
        /* weighsAnswers= */ false);
  }
}
