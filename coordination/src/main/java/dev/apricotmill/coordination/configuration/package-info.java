/**
 * Storage and distribution of the configuration. One conditional update accepts a configuration;
 * daemons then fetch it from each other.
 *
 * <p>The parts of a configuration are opaque bytes, named by their hash. This package does not
 * interpret them.
 */
@NullMarked
package dev.apricotmill.coordination.configuration;

import org.jspecify.annotations.NullMarked;
