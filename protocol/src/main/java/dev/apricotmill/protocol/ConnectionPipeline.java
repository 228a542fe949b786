package dev.apricotmill.protocol;

import dev.apricotmill.protocol.generated.Frame;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;

/** Builds the handlers of a connection: bounded frames, protobuf and idle detection. */
final class ConnectionPipeline {

  private static final int LENGTH_FIELD_BYTES = 4;

  private ConnectionPipeline() {}

  static void build(ChannelPipeline pipeline, TransportLimits limits, ChannelHandler connection) {
    pipeline.addLast(
        new IdleStateHandler(
            limits.readIdleTimeout().toMillis(),
            limits.keepAliveInterval().toMillis(),
            0,
            TimeUnit.MILLISECONDS));
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            limits.maximumFrameBytes(), 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
    pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
    pipeline.addLast(new ProtobufEncoder());
    pipeline.addLast(connection);
  }
}
