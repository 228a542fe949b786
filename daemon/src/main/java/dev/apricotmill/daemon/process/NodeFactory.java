package dev.apricotmill.daemon.process;

import dev.apricotmill.node.Node;
import dev.apricotmill.node.NodeDependencies;
import dev.apricotmill.node.NodeSettings;

/** Makes the node of a daemon. */
public interface NodeFactory {

  /** Returns a node that has not been started. */
  Node create(NodeSettings settings, NodeDependencies ports);
}
