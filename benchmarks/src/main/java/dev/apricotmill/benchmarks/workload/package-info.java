/** Bursty, heavy-tailed arrivals with fixed seeds. */
@NullMarked
package dev.apricotmill.benchmarks.workload;

import org.jspecify.annotations.NullMarked;
