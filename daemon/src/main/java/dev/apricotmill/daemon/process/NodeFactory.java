package dev.apricotmill.daemon.process;

import dev.apricotmill.node.Node;
import dev.apricotmill.node.NodeDependencies;
import dev.apricotmill.node.NodeSettings;

/** Creates the node of a daemon. */
public interface NodeFactory {

  /** Returns a new node, not yet started. */
  Node create(NodeSettings settings, NodeDependencies ports);
}
