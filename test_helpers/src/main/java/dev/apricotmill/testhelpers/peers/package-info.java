/** In-process delivery between daemons on virtual time, with delays, cuts and losses. */
@NullMarked
package dev.apricotmill.testhelpers.peers;

import org.jspecify.annotations.NullMarked;
