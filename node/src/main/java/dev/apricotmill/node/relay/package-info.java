/** Relays opaque HTTP exchanges between callers and backend servers. */
@NullMarked
package dev.apricotmill.node.relay;

import org.jspecify.annotations.NullMarked;
