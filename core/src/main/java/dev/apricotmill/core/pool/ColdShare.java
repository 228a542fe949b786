package dev.apricotmill.core.pool;

/**
 * The part of a cold server's bound that one node may send by itself, without a message.
 *
 * <p>With more nodes than requests in the bound, a whole request a second cannot be given to each
 * node; the nodes that come first in the server's order of nodes get one, the others none. All
 * nodes with the same list of nodes together stay within two fifths of the bound. Nodes with an
 * older or a newer list use another two fifths; the last one covers requests that were checked
 * before a delay and arrive with those after it.
 */
public final class ColdShare {

  private static final double SHARE_OF_ONE_LIST = 0.4;

  private ColdShare() {}

  /**
   * Returns the requests of any second that a node may send to a cold server.
   *
   * @param bound the most requests that the server may get in any second from all nodes together
   * @param rank the place of the node in the server's order of nodes, from 0
   * @param nodeCount the number of nodes; above the rank
   */
  public static int requestsPerSecond(int bound, int rank, int nodeCount) {
    int budget = Math.max(1, (int) (bound * SHARE_OF_ONE_LIST));
    return budget / nodeCount + (rank < budget % nodeCount ? 1 : 0);
  }
}
