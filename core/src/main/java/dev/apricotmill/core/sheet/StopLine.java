package dev.apricotmill.core.sheet;

import dev.apricotmill.core.configuration.PlannedStop;

/**
 * A planned stop with the number of its line.
 *
 * @param line the line number in the file
 * @param stop the stop
 */
record StopLine(int line, PlannedStop stop) {}
