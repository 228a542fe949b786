/** The operators' command line. */
@NullMarked
package dev.apricotmill.cli;

import org.jspecify.annotations.NullMarked;
