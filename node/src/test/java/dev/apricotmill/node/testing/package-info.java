/** A complete deployment in virtual time, for tests of the node. */
@NullMarked
package dev.apricotmill.node.testing;

import org.jspecify.annotations.NullMarked;
