/** The daily sheet: read from CSV, checked in one pass, and accepted or refused as a whole. */
@NullMarked
package dev.apricotmill.core.sheet;

import org.jspecify.annotations.NullMarked;
