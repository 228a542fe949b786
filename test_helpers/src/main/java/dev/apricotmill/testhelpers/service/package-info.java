/** A stand-in of a plain service: its model, an in-process port and a server. */
@NullMarked
package dev.apricotmill.testhelpers.service;

import org.jspecify.annotations.NullMarked;
