/**
 * A configuration that is accepted by one conditional update and spread from daemon to daemon.
 *
 * <p>Its parts are opaque bytes, named by their hash; what they mean is not known here.
 */
@NullMarked
package dev.apricotmill.coordination.configuration;

import org.jspecify.annotations.NullMarked;
