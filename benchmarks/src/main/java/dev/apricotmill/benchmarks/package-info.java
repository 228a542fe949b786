/** Measurements of the policy, of slopes and of single decisions. */
@NullMarked
package dev.apricotmill.benchmarks;

import org.jspecify.annotations.NullMarked;
