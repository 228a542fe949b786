package dev.apricotmill.core.sheet;

import com.google.common.primitives.Bytes;
import dev.apricotmill.core.sheet.SheetFault.Kind;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Decodes the bytes of a sheet as strict UTF-8, with or without a byte order mark. */
final class SheetText {
  private static final char BYTE_ORDER_MARK = '\uFEFF';

  private SheetText() {}

  /** Returns the text, or empty after adding a fault. */
  static Optional<String> decode(byte[] bytes, SheetFaults faults) {
    if (bytes.length > SheetApplier.MAXIMUM_BYTES) {
      faults.add(Kind.TOO_LARGE, 1, "", "at most " + SheetApplier.MAXIMUM_BYTES + " bytes");
      return Optional.empty();
    }
    CharsetDecoder decoder =
        StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT);
    ByteBuffer input = ByteBuffer.wrap(bytes);
    CharBuffer output = CharBuffer.allocate(bytes.length + 1);
    CoderResult result = decoder.decode(input, output, true);
    String text = output.flip().toString();
    // ASCII text in UTF-16 is valid UTF-8, but has a zero byte in every character.
    int zero = Bytes.indexOf(bytes, (byte) 0);
    if (result.isError() || zero >= 0) {
      int end = zero >= 0 ? Math.min(zero, text.length()) : text.length();
      faults.add(Kind.WRONG_ENCODING, lineAt(text, end), "", "");
      return Optional.empty();
    }
    String content =
        !text.isEmpty() && text.charAt(0) == BYTE_ORDER_MARK ? text.substring(1) : text;
    if (content.isBlank()) {
      faults.add(Kind.EMPTY, 1, "", "");
      return Optional.empty();
    }
    return Optional.of(content);
  }

  private static int lineAt(String text, int end) {
    return 1 + (int) text.substring(0, end).chars().filter(each -> each == '\n').count();
  }
}
