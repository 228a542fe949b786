/** The path of one opaque exchange from a caller to backend servers and back. */
@NullMarked
package dev.apricotmill.node.relay;

import org.jspecify.annotations.NullMarked;
