package dev.apricotmill.node.relay;

import java.time.Duration;

/**
 * Bounds of the relay.
 *
 * @param longestProofAge the age of the configuration's proof beyond which no key is trusted
 * @param defaultPatience how long a request may take whose caller does not say
 * @param retriesPerThousandRequests retries that each thousand requests of a service earn
 * @param retryReserve retries that all nodes together may have saved up for a service
 */
public record RelaySettings(
    Duration longestProofAge,
    Duration defaultPatience,
    int retriesPerThousandRequests,
    int retryReserve) {}
