/** A whole deployment on one virtual timeline, for tests of the node. */
@NullMarked
package dev.apricotmill.node.testing;

import org.jspecify.annotations.NullMarked;
