/** Prompts and their parts, and the parts that crash engines. */
@NullMarked
package dev.apricotmill.core.prompt;

import org.jspecify.annotations.NullMarked;
