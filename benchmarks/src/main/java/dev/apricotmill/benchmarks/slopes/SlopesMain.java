package dev.apricotmill.benchmarks.slopes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.PrintStream;

/** Prints what control costs at growing sizes. */
public final class SlopesMain {

  private static final ImmutableList<Integer> DAEMONS = ImmutableList.of(12, 48, 120, 240, 350);
  private static final ImmutableList<Integer> CUSTOMERS =
      ImmutableList.of(1_000, 5_000, 15_000, 35_000);
  private static final ImmutableList<Integer> REPLICAS = ImmutableList.of(20, 100, 300, 600);
  private static final ImmutableList<Integer> ORDERS = ImmutableList.of(50, 150, 350, 550);

  private SlopesMain() {}

  /**
   * Runs the measurements.
   *
   * @param arguments which ones: daemons, customers, replicas, orders; all if there is none
   */
  public static void main(String[] arguments) {
    ImmutableSet<String> wanted =
        arguments.length == 0
            ? ImmutableSet.of("daemons", "customers", "replicas", "orders")
            : ImmutableSet.copyOf(arguments);
    PrintStream out = System.out;
    if (wanted.contains("customers")) {
      CustomerSlope.print(out, CUSTOMERS);
    }
    if (wanted.contains("replicas")) {
      ReplicaSlope.print(out, REPLICAS);
    }
    if (wanted.contains("orders")) {
      OrderSlope.print(out, ORDERS);
    }
    if (wanted.contains("daemons")) {
      DaemonSlope.print(out, DAEMONS);
    }
  }
}
