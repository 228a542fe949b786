/** The daemon's settings: flags, environment variables and their checks. */
@NullMarked
package dev.apricotmill.daemon.settings;

import org.jspecify.annotations.NullMarked;
