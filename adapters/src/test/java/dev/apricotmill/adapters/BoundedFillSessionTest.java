package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.junit.jupiter.api.Test;

/** Guards against a buffer that the library doubles although it holds whole messages. */
final class BoundedFillSessionTest {

  private final BoundedFillSession session = new BoundedFillSession(endlessSession());

  @Test
  void aReadLeavesOneByteOfTheBufferFree() throws Exception {
    ByteBuffer buffer = ByteBuffer.allocate(100);
    assertThat(session.read(buffer)).isEqualTo(99);
    assertThat(buffer.remaining()).isEqualTo(1);
  }

  /** A message that does not fit must be able to fill the buffer, which then grows. */
  @Test
  void theLastByteIsFilledIfNothingWasConsumedSinceTheReadBefore() throws Exception {
    ByteBuffer buffer = ByteBuffer.allocate(100);
    session.read(buffer);
    assertThat(session.read(buffer)).isEqualTo(1);
    assertThat(buffer.hasRemaining()).isFalse();
  }

  /** Returns a session that fills each buffer that it is given. */
  private static ProtocolIOSession endlessSession() {
    return (ProtocolIOSession)
        Proxy.newProxyInstance(
            BoundedFillSessionTest.class.getClassLoader(),
            new Class<?>[] {ProtocolIOSession.class},
            (proxy, method, arguments) -> {
              if (!method.getName().equals("read")) {
                throw new UnsupportedOperationException(method.getName());
              }
              ByteBuffer target = (ByteBuffer) arguments[0];
              int count = target.remaining();
              target.position(target.limit());
              return count;
            });
  }
}
