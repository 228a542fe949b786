/** The daemon program: settings, sockets and the wiring of a node. */
@NullMarked
package dev.apricotmill.daemon;

import org.jspecify.annotations.NullMarked;
