/** Maps the interfaces between daemons to messages of the inner protocol, and back. */
@NullMarked
package dev.apricotmill.daemon.inner;

import org.jspecify.annotations.NullMarked;
