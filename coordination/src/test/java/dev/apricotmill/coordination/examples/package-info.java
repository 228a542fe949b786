/** The examples of the page on embedding, compiled and run as tests. */
@NullMarked
package dev.apricotmill.coordination.examples;

import org.jspecify.annotations.NullMarked;
