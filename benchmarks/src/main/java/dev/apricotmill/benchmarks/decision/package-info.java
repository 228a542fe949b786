/** Micro benchmarks of single decisions. */
@NullMarked
package dev.apricotmill.benchmarks.decision;

import org.jspecify.annotations.NullMarked;
