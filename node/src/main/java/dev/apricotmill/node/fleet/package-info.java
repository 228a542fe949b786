/** The immutable view of configuration, daemons and replicas, and its sources. */
@NullMarked
package dev.apricotmill.node.fleet;

import org.jspecify.annotations.NullMarked;
