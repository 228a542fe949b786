package dev.apricotmill.core.cleanup;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.engine.ExportId;
import dev.apricotmill.core.engine.SequenceId;

/**
 * The orphaned memory to free on an engine.
 *
 * @param sequences the sequences to cancel
 * @param exports the exports to release
 */
public record CleanUpPlan(ImmutableList<SequenceId> sequences, ImmutableList<ExportId> exports) {}
