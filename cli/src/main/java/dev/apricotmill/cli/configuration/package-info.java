/** Commands that check, apply, show and compare configurations. */
@NullMarked
package dev.apricotmill.cli.configuration;

import org.jspecify.annotations.NullMarked;
