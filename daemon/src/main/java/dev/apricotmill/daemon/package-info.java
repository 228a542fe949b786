/** The daemon program: settings, listeners and the construction of a node. */
@NullMarked
package dev.apricotmill.daemon;

import org.jspecify.annotations.NullMarked;
