package dev.apricotmill.coordination.ledger;

import java.time.Duration;

/**
 * The range of creation times of keys that a service accepts.
 *
 * @param maximumAge older keys are refused, since their claims may have been dropped
 * @param futureSkew how far a caller's clock may be ahead of this daemon's
 */
public record KeyWindow(Duration maximumAge, Duration futureSkew) {}
