package dev.apricotmill.core.relay;

/**
 * How far the requests of one second at a cold server may exceed the rate that it tolerates.
 *
 * @param overshoot the factor of that rate
 * @param slack the requests beyond it
 */
public record ColdTolerance(double overshoot, double slack) {

  /** The rate must not be exceeded at all. */
  public static final ColdTolerance NONE = new ColdTolerance(1, 0);

  /** Returns the most requests that a cold server may get in any second. */
  public int bound(ColdStart coldStart) {
    return (int) (coldStart.requestsPerSecond() * overshoot + slack);
  }
}
