/** Fakes and raw sockets for the tests of the daemon. */
@NullMarked
package dev.apricotmill.daemon.testing;

import org.jspecify.annotations.NullMarked;
