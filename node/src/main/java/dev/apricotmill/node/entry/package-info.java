/** The entry role: admits callers' requests for generated text and carries them to stewards. */
@NullMarked
package dev.apricotmill.node.entry;

import org.jspecify.annotations.NullMarked;
