package org.rosemaryfront.peer;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;

import org.rosemaryfront.peer.proto.Frame;

/**
 * The codecs of both ends of a connection between peers.
 */
final class FramePipeline {

	/** The greatest frame; a hand-off carries a caller's body and its tokens. */
	static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

	/** A frame that only shows that its sender lives. */
	static final Frame HEARTBEAT = Frame.getDefaultInstance();

	private FramePipeline() {
	}

	static void addCodecs(ChannelPipeline pipeline) {
		pipeline.addLast(new BoundedFrameDecoder());
		pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
		pipeline.addLast(new ProtobufVarint32LengthFieldPrepender());
		pipeline.addLast(new ProtobufEncoder());
	}

	/**
	 * Refuses a frame that never seems to end, before it fills the memory.
	 */
	private static final class BoundedFrameDecoder extends ProtobufVarint32FrameDecoder {

		@Override
		protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
			int before = out.size();
			super.decode(context, in, out);
			if (out.size() == before && in.readableBytes() > MAX_FRAME_BYTES) {
				throw new TooLongFrameException("a frame exceeds " + MAX_FRAME_BYTES + " bytes");
			}
		}

	}

}
