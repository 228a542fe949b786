package dev.apricotmill.core.sheet;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.core.configuration.Configuration;
import java.time.LocalDate;
import java.time.ZoneId;

/**
 * The state against which a sheet is checked.
 *
 * @param configuration the current configuration
 * @param machines the platform's list of VMs
 * @param today the day on which the sheet would take effect
 * @param timeZone the time zone of the deployment, which determines when a day begins
 */
public record SheetContext(
    Configuration configuration,
    ImmutableList<Machine> machines,
    LocalDate today,
    ZoneId timeZone) {}
