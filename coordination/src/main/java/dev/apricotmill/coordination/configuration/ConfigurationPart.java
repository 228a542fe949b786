package dev.apricotmill.coordination.configuration;

/**
 * A part as the head names it.
 *
 * @param name the part's name within the configuration
 * @param sha256 the SHA-256 of its bytes in hexadecimal digits
 * @param size the number of its bytes
 */
public record ConfigurationPart(String name, String sha256, int size) {}
