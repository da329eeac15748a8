package org.rosemaryfront.peer;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
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
		pipeline.addLast(new BoundedFrameDecoder(MAX_FRAME_BYTES));
		pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
		pipeline.addLast(new ProtobufVarint32LengthFieldPrepender());
		pipeline.addLast(new ProtobufEncoder());
	}

}
