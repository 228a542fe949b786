/** The daemon's settings: flags, environment variables and their validation. */
@NullMarked
package dev.apricotmill.daemon.settings;

import org.jspecify.annotations.NullMarked;
