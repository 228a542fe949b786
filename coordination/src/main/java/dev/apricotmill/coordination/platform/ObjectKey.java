package dev.apricotmill.coordination.platform;

/**
 * The name of an object in the platform's store: segments separated by slashes.
 *
 * @param path the path, such as {@code config/head}
 */
public record ObjectKey(String path) {

  /** Checks that the path is not empty and does not begin with a slash. */
  public ObjectKey {
    if (path.isEmpty() || path.startsWith("/")) {
      throw new IllegalArgumentException("bad object path: " + path);
    }
  }

  @Override
  public String toString() {
    return path;
  }
}
