/** The code examples of {@code docs/EMBEDDING.md}, compiled and run as tests. */
@NullMarked
package dev.apricotmill.coordination.examples;

import org.jspecify.annotations.NullMarked;
