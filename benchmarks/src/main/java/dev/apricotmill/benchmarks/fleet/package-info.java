/** A small model of engines in virtual time, at which policies are measured. */
@NullMarked
package dev.apricotmill.benchmarks.fleet;

import org.jspecify.annotations.NullMarked;
