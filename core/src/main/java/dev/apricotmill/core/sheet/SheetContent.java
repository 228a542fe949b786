package dev.apricotmill.core.sheet;

import com.google.common.collect.ImmutableList;
import java.time.LocalDate;
import java.util.Optional;

/**
 * The parsed content of a sheet, without values that could not be read.
 *
 * @param day the day of the first line
 * @param customers the customer lines
 * @param stops the stop lines
 */
record SheetContent(
    Optional<LocalDate> day,
    ImmutableList<CustomerLine> customers,
    ImmutableList<StopLine> stops) {}
