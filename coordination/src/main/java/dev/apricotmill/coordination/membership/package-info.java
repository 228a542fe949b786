/** Which daemons are alive, learned by probing a few peers. */
@NullMarked
package dev.apricotmill.coordination.membership;

import org.jspecify.annotations.NullMarked;
