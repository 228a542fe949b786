/** One daemon without its network servers: entry role, steward role and control tasks. */
@NullMarked
package dev.apricotmill.node;

import org.jspecify.annotations.NullMarked;
