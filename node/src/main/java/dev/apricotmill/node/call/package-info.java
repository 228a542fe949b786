/** Calls of plain services: idempotent calls and at-most-once calls. */
@NullMarked
package dev.apricotmill.node.call;

import org.jspecify.annotations.NullMarked;
