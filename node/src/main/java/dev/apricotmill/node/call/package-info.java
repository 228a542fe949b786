/** Calls of plain services, those that run at most once included. */
@NullMarked
package dev.apricotmill.node.call;

import org.jspecify.annotations.NullMarked;
