/** The steward role: queues, dispatches and cleans up requests on replicas that a daemon owns. */
@NullMarked
package dev.apricotmill.node.steward;

import org.jspecify.annotations.NullMarked;
