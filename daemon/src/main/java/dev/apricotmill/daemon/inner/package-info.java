/** Maps the ports between daemons to the messages of the inner protocol, in both directions. */
@NullMarked
package dev.apricotmill.daemon.inner;

import org.jspecify.annotations.NullMarked;
