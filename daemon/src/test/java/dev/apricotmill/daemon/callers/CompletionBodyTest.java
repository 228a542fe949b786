package dev.apricotmill.daemon.callers;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.apricotmill.core.request.ServiceName;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class CompletionBodyTest {

  @Test
  void chatMessagesWithContentPartsAreRenderedAsOnePrompt() throws Exception {
    CompletionBody body =
        CompletionBody.parse(
            CompletionForm.CHAT,
            bytes(
                "{\"model\":\"pool\",\"messages\":[{\"role\":\"system\",\"content\":\"short\"},"
                    + "{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"a\"},"
                    + "{\"type\":\"text\",\"text\":\"b\"}]}]}"));
    assertThat(body)
        .isEqualTo(
            new CompletionBody(
                new ServiceName("pool"),
                "<|system|>\nshort\n<|user|>\nab\n<|assistant|>\n",
                256,
                false));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "{                                              | NOT_JSON",
        "[]                                             | NOT_JSON",
        "{}                                             | WRONG_FIELDS",
        "{'model':'p'}                                  | WRONG_FIELDS",
        "{'model':7,'prompt':'a'}                       | WRONG_FIELDS",
        "{'model':'','prompt':'a'}                      | WRONG_FIELDS",
        "{'model':'p','prompt':7}                       | WRONG_FIELDS",
        "{'model':'p','prompt':['a','b']}               | WRONG_FIELDS",
        "{'model':'p','prompt':'a','max_tokens':0}      | WRONG_FIELDS",
        "{'model':'p','prompt':'a','max_tokens':-1}     | WRONG_FIELDS",
        "{'model':'p','prompt':'a','max_tokens':1e30}   | WRONG_FIELDS",
        "{'model':'p','prompt':'a','max_tokens':999999} | WRONG_FIELDS",
        "{'model':'p','prompt':'a','n':2}               | WRONG_FIELDS",
        "{'model':'p','prompt':'a','stream':'yes'}      | WRONG_FIELDS",
      })
  void anInvalidBodyIsRefusedWithItsError(String json, ClientError error) {
    ClientErrorException thrown =
        assertThrows(
            ClientErrorException.class,
            () -> CompletionBody.parse(CompletionForm.TEXT, bytes(json.replace('\'', '"'))));
    assertThat(thrown.error()).isEqualTo(error);
  }

  @Test
  void aBodyNestedTooDeeplyIsRefused() {
    String json = "{\"model\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}";
    ClientErrorException thrown =
        assertThrows(
            ClientErrorException.class,
            () -> CompletionBody.parse(CompletionForm.TEXT, bytes(json)));
    assertThat(thrown.error()).isEqualTo(ClientError.NOT_JSON);
  }

  @Property(seed = "20261120", tries = 500)
  void anyBytesAreParsedOrRefusedWithAnError(@ForAll byte[] body) {
    try {
      assertThat(CompletionBody.parse(CompletionForm.TEXT, body).prompt()).isNotNull();
    } catch (ClientErrorException e) {
      assertThat(e.error()).isNotNull();
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
