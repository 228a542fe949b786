/** Calls a complete daemon, with test servers as back ends, through an HTTP client library. */
@NullMarked
package dev.apricotmill.daemon.client;

import org.jspecify.annotations.NullMarked;
