package dev.apricotmill.core.configuration;

/**
 * A position in a text.
 *
 * @param line the line, from 1
 * @param column the column, from 1
 */
public record TextPosition(int line, int column) {
  @Override
  public String toString() {
    return "line " + line + ", column " + column;
  }
}
