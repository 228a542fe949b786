/** Stand-ins of platform, engine and plain service, for tests and demonstrations. */
@NullMarked
package dev.apricotmill.testhelpers;

import org.jspecify.annotations.NullMarked;
