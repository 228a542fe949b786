package dev.apricotmill.coordination.configuration;

/**
 * The description of a part in a {@link ConfigurationHead}.
 *
 * @param name the part's name within the configuration
 * @param sha256 the SHA-256 of the content in hexadecimal digits
 * @param size the content's size in bytes
 */
public record ConfigurationPart(String name, String sha256, int size) {}
