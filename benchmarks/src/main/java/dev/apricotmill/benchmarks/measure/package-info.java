/** Runs policies over loads, seeds and faults, and prints tables and plots. */
@NullMarked
package dev.apricotmill.benchmarks.measure;

import org.jspecify.annotations.NullMarked;
