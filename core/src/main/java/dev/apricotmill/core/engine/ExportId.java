package dev.apricotmill.core.engine;

/**
 * Identifies an exported KV cache on the engine that made it.
 *
 * @param value the engine's identifier
 */
public record ExportId(String value) {}
