/** Identities of daemons, their incarnations and availability zones. */
@NullMarked
package dev.apricotmill.coordination.identity;

import org.jspecify.annotations.NullMarked;
