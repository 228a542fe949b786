package dev.apricotmill.benchmarks.slopes;

import com.google.common.collect.ImmutableList;
import java.io.PrintStream;

/** Prints what control costs at growing sizes. */
public final class SlopesMain {

  private static final ImmutableList<Integer> DAEMONS = ImmutableList.of(12, 48, 120, 240, 350);
  private static final ImmutableList<Integer> CUSTOMERS =
      ImmutableList.of(1_000, 5_000, 15_000, 35_000);
  private static final ImmutableList<Integer> REPLICAS = ImmutableList.of(20, 100, 300, 600);
  private static final ImmutableList<Integer> ORDERS = ImmutableList.of(50, 150, 350, 550);

  private SlopesMain() {}

  /** Runs every measurement. */
  public static void main(String[] arguments) {
    PrintStream out = System.out;
    DaemonSlope.print(out, DAEMONS);
    CustomerSlope.print(out, CUSTOMERS);
    ReplicaSlope.print(out, REPLICAS);
    OrderSlope.print(out, ORDERS);
  }
}
