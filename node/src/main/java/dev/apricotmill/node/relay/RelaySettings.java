package dev.apricotmill.node.relay;

import java.time.Duration;

/**
 * Bounds of the relay.
 *
 * @param maxConfigurationStaleness the age of the configuration's proof beyond which no key is
 *     trusted
 * @param defaultTimeout how long a request may take whose caller does not say
 * @param retriesPerThousandRequests retries that each thousand requests of a service earn
 * @param retryReserve retries that all nodes together may have saved up for a service
 */
public record RelaySettings(
    Duration maxConfigurationStaleness,
    Duration defaultTimeout,
    int retriesPerThousandRequests,
    int retryReserve) {}
