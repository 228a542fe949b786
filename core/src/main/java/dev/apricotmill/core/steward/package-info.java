/** Queue, memory account and admission of one replica, owned by its steward. */
@NullMarked
package dev.apricotmill.core.steward;

import org.jspecify.annotations.NullMarked;
