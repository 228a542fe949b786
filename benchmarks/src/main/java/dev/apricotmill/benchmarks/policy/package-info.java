/** The policies that are measured: the product's decisions and the baselines. */
@NullMarked
package dev.apricotmill.benchmarks.policy;

import org.jspecify.annotations.NullMarked;
