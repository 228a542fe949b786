/** The HTTP side that all stand-ins share, with answers that can be spoiled on purpose. */
@NullMarked
package dev.apricotmill.testhelpers.http;

import org.jspecify.annotations.NullMarked;
