/** A whole daemon with stand-ins behind it, called by a client library. */
@NullMarked
package dev.apricotmill.daemon.client;

import org.jspecify.annotations.NullMarked;
