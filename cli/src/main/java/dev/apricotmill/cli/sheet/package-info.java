/** Commands that check, apply and show the morning sheet. */
@NullMarked
package dev.apricotmill.cli.sheet;

import org.jspecify.annotations.NullMarked;
