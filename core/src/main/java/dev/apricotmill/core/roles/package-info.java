/** The choice of engine roles as the mix of prompt lengths moves. */
@NullMarked
package dev.apricotmill.core.roles;

import org.jspecify.annotations.NullMarked;
