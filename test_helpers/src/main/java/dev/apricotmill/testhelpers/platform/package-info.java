/** A stand-in of the platform's object store as a server. */
@NullMarked
package dev.apricotmill.testhelpers.platform;

import org.jspecify.annotations.NullMarked;
