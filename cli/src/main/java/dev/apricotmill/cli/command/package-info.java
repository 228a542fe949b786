/** What all commands share: options, exit codes, reports and the ways to the outside. */
@NullMarked
package dev.apricotmill.cli.command;

import org.jspecify.annotations.NullMarked;
