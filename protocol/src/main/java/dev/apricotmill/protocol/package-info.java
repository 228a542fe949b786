/** The protocol between daemons: messages and their transport. */
@NullMarked
package dev.apricotmill.protocol;

import org.jspecify.annotations.NullMarked;
