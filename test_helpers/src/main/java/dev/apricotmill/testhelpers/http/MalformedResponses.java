package dev.apricotmill.testhelpers.http;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.base.CharMatcher;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Parts of responses that violate RFC 9110 or RFC 9112, as a faulty server sends them. Lines have
 * no line end; a character stands for a byte.
 */
public final class MalformedResponses {

  private static final int BYTE_VALUES = 256;

  private static final CharMatcher NAME_CHARACTERS =
      CharMatcher.inRange('0', '9')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.inRange('a', 'z'))
          .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"));

  private static final ImmutableList<String> LENGTH_FIELDS =
      ImmutableList.of(
          "Content-Length 10",
          "Content-Length; 10",
          "Content-Length= 10",
          "Content-Length",
          ":Content-Length: 10",
          "Content-Length :10",
          "Content-Length\t: 10",
          " Content-Length: 10",
          "\tContent-Length: 10",
          "Content-Length: 10\r\nContent-Length: 11",
          "Content-Length: 11\r\nContent-Length: 10",
          "Content-Length: 10\r\nContent-Length: x",
          "Content-Length: 10\r\nContent-Length:",
          "Content-Length: 10\r\nContent-Length 11");

  private static final ImmutableList<String> LENGTH_VALUES =
      ImmutableList.of(
          "",
          ":10",
          ": 10",
          "x",
          "ten",
          "1x",
          "x10",
          "10x",
          "1 0",
          "1\t0",
          "1_0",
          "1.0",
          "10.",
          "1e1",
          "0xa",
          "a",
          "10;",
          "\"10\"",
          "'10'",
          "1\u00000",
          "10\u0000",
          "10\u007f",
          "\u00b910",
          "\u00ef\u00bc\u0091\u00ef\u00bc\u0090",
          "9223372036854775808",
          "18446744073709551626",
          "99999999999999999999999",
          "+10",
          "-10",
          "+ 10",
          "- 10",
          "-0",
          "+0",
          "+",
          "-",
          "10+",
          "10, 11",
          "11, 10",
          "10,11",
          "10 11",
          "10;11",
          "10, x",
          "10, -10");

  private static final ImmutableList<String> CODING_FIELDS =
      ImmutableList.of(
          "Transfer-Encoding chunked",
          "Transfer-Encoding; chunked",
          "Transfer-Encoding",
          ":Transfer-Encoding: chunked",
          "Transfer-Encoding : chunked",
          " Transfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: x",
          "Transfer-Encoding: chunked\r\nContent-Length: +10",
          "Content-Length: x\r\nTransfer-Encoding: chunked",
          "Content-Length: 10\r\nContent-Length: 11\r\nTransfer-Encoding: chunked",
          "Content-Length: 10\r\nTransfer-Encoding: chunke");

  private static final ImmutableList<String> CODING_VALUES =
      ImmutableList.of(
          "",
          "x",
          "chunke",
          "chunkedd",
          "hunked",
          "chu nked",
          "chunked x",
          "chunked;a=b",
          "\"chunked\"",
          ": chunked",
          "chunked, chunked",
          "chunked, gzip",
          "gzip, chunked",
          "gzip",
          "identity",
          "chunked\u0000",
          "chun\u00e9ked",
          "-chunked");

  private MalformedResponses() {}

  /** Returns status lines of which none has a valid version, status and reason. */
  public static ImmutableList<String> statusLines() {
    return ImmutableList.of(
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 -200 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2 00 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 OK",
        "HTTP/1.1",
        "HTTP/1.1200 OK",
        "HTTP/ 200 OK",
        "HTTP /1.1 200 OK",
        "XTTP/1.1 200 OK",
        "200 OK",
        "HTTP/1.1 200 O\u0000K",
        "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200 O\u007fK");
  }

  /** Returns a field with each byte that a name may not hold at each position of its name. */
  public static ImmutableList<String> fieldsWithInvalidNames(String name, String value) {
    return IntStream.rangeClosed(0, name.length())
        .boxed()
        .flatMap(position -> fieldsWithInvalidNameAt(name, position, value))
        .collect(toImmutableList());
  }

  /** Returns a field with some of the bytes that a name may not hold, first, within and last. */
  public static ImmutableList<String> someFieldsWithInvalidNames(String name, String value) {
    return Stream.of(0, name.length() / 2, name.length())
        .flatMap(
            position ->
                Stream.of(' ', '\t', '\u0000', '\n', '\r', '\u001f', '"', '(', '\u007f', '\u00e9')
                    .map(inserted -> fieldWithInvalidName(name, position, inserted, value)))
        .collect(toImmutableList());
  }

  /** A colon ends a name, so that what precedes it may be another valid one. */
  private static Stream<String> fieldsWithInvalidNameAt(String name, int position, String value) {
    return IntStream.range(0, BYTE_VALUES)
        .mapToObj(inserted -> (char) inserted)
        .filter(inserted -> inserted != ':' && !NAME_CHARACTERS.matches(inserted))
        .map(inserted -> fieldWithInvalidName(name, position, inserted, value));
  }

  private static String fieldWithInvalidName(
      String name, int position, char inserted, String value) {
    return name.substring(0, position) + inserted + name.substring(position) + ": " + value;
  }

  /** Returns lines that are no fields, or whose value holds a control character. */
  public static ImmutableList<String> linesWithoutField() {
    return ImmutableList.of(
        "no field",
        "X-Other",
        "X-Other; value",
        ":",
        ": value",
        ":X-Other: value",
        " ",
        "\t",
        "HTTP/1.1 200 OK",
        "{\"text\": 1}",
        "<p>text: text</p>",
        "\u0000",
        "\u00e9",
        "X-Other: a\u0000b",
        "X-Other: a\rb",
        "X-Other: a\u007fb");
  }

  /** Returns fields that tell the length of a body of ten bytes in an invalid way. */
  public static ImmutableList<String> lengths() {
    return withValues(LENGTH_FIELDS, "Content-Length", LENGTH_VALUES);
  }

  /** Returns fields that tell of a chunked body in an invalid way. */
  public static ImmutableList<String> transferCodings() {
    return withValues(CODING_FIELDS, "Transfer-Encoding", CODING_VALUES);
  }

  private static ImmutableList<String> withValues(
      List<String> fields, String name, List<String> values) {
    return Stream.concat(fields.stream(), values.stream().map(value -> name + ": " + value))
        .collect(toImmutableList());
  }

  /** Returns lines that tell the size of a chunk of five bytes in an invalid way. */
  public static ImmutableList<String> chunkSizes() {
    return ImmutableList.of(
        "",
        "+5",
        "-5",
        "+ 5",
        " 5",
        "\t5",
        "5 ",
        "5\t",
        "0x5",
        "5h",
        "5h;a=b",
        "g",
        "x",
        "5 5",
        "5,5",
        "5.",
        "5:",
        "5\u0000",
        "5\u007f",
        "5;a\u0000=b",
        ";a=b",
        " ;a=b",
        "\u00b25",
        "8000000000000005",
        "10000000000000005",
        "ffffffffffffffffffff5",
        "-0",
        "+0",
        "0 ",
        " 0",
        "0x0",
        "-",
        "+");
  }
}
