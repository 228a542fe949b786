/** The morning sheet: read from CSV, checked in one pass, taken whole or refused whole. */
@NullMarked
package dev.apricotmill.core.sheet;

import org.jspecify.annotations.NullMarked;
