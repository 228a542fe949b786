package dev.apricotmill.coordination.ledger;

import java.time.Duration;

/**
 * Which creation times of keys a service accepts.
 *
 * @param maximumAge older keys are refused, since they may have run and be forgotten
 * @param futureSkew how far a caller's clock may be ahead
 */
public record KeyWindow(Duration maximumAge, Duration futureSkew) {}
