package dev.apricotmill.coordination.platform;

/**
 * The key of an object in the platform's object store: segments separated by slashes.
 *
 * @param path the path, such as {@code config/head}
 */
public record ObjectKey(String path) {

  /** Checks that the path is not empty and does not begin with a slash. */
  public ObjectKey {
    if (path.isEmpty() || path.startsWith("/")) {
      throw new IllegalArgumentException(
          "object path must not be empty or begin with a slash: " + path);
    }
  }

  @Override
  public String toString() {
    return path;
  }
}
