/** One immutable view of configuration, daemons and replicas, replaced as a whole. */
@NullMarked
package dev.apricotmill.node.fleet;

import org.jspecify.annotations.NullMarked;
