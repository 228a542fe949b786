package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers and booleans. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(Object value) {
    return value instanceof Map ? (Map<String, Object>) value : Map.of();
  }

  private void blank() {
    while (at < text.length() && text.charAt(at) <= ' ') {
      at++;
    }
  }

  private Object value() {
    blank();
    char first = text.charAt(at);
    if (first == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      blank();
      while (text.charAt(at) != '}') {
        String name = string();
        blank();
        at++;
        map.put(name, value());
        blank();
        if (text.charAt(at) == ',') {
          at++;
          blank();
        }
      }
      at++;
      return map;
    }
    if (first == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      blank();
      while (text.charAt(at) != ']') {
        list.add(value());
        blank();
        if (text.charAt(at) == ',') {
          at++;
          blank();
        }
      }
      at++;
      return list;
    }
    if (first == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    switch (word) {
      case "true":
        return true;
      case "false":
        return false;
      case "null":
        return null;
      default:
        if (word.matches("-?\\d{1,18}")) {
          return Long.parseLong(word);
        }
        return Double.parseDouble(word);
    }
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char next = text.charAt(at++);
      if (next != '\\') {
        out.append(next);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
    at++;
    return out.toString();
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String comma = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(comma);
        write(entry.getKey().toString(), out);
        out.append(':');
        write(entry.getValue(), out);
        comma = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String comma = "";
      for (Object item : list) {
        out.append(comma);
        write(item, out);
        comma = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char next : string.toCharArray()) {
        if (next == '"' || next == '\\') {
          out.append('\\').append(next);
        } else if (next < ' ') {
          out.append(String.format("\\u%04x", (int) next));
        } else {
          out.append(next);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }
}
