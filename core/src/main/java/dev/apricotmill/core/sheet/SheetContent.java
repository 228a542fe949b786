package dev.apricotmill.core.sheet;

import com.google.common.collect.ImmutableList;
import java.time.LocalDate;
import java.util.Optional;

/**
 * What could be read of a sheet; lines with a fault are left out.
 *
 * @param day the day of the first line
 * @param customers the customers' lines
 * @param stops the planned stops
 */
record SheetContent(
    Optional<LocalDate> day,
    ImmutableList<CustomerLine> customers,
    ImmutableList<StopLine> stops) {}
