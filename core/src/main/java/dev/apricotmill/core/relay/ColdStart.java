package dev.apricotmill.core.relay;

import java.time.Duration;

/**
 * How the servers of a service warm up after their start.
 *
 * @param duration how long a server is cold after its start
 * @param requestsPerSecond the requests a second that a cold server tolerates; above 0
 */
public record ColdStart(Duration duration, double requestsPerSecond) {}
