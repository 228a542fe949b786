/** Measures what control costs a daemon as daemons, replicas, customers and orders grow. */
@NullMarked
package dev.apricotmill.benchmarks.slopes;

import org.jspecify.annotations.NullMarked;
