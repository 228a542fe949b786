/** The entry role: admits callers' requests for generated text and forwards them to stewards. */
@NullMarked
package dev.apricotmill.node.entry;

import org.jspecify.annotations.NullMarked;
