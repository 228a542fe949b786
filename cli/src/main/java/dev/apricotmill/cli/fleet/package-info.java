/** Commands that ask daemons for their status and drain them. */
@NullMarked
package dev.apricotmill.cli.fleet;

import org.jspecify.annotations.NullMarked;
