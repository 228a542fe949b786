/** Callers that check every outcome, for the demonstration and the trial over real processes. */
@NullMarked
package dev.apricotmill.testhelpers.demo;

import org.jspecify.annotations.NullMarked;
