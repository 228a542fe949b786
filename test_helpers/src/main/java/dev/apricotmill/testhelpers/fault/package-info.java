/** Faults that tests and operators of a demonstration bring about at a stand-in. */
@NullMarked
package dev.apricotmill.testhelpers.fault;

import org.jspecify.annotations.NullMarked;
