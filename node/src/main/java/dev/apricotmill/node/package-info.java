/** One daemon without its sockets: entry, steward and control duties behind ports. */
@NullMarked
package dev.apricotmill.node;

import org.jspecify.annotations.NullMarked;
