package org.rosemaryfront.peer;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;

/** Splits a stream into frames, and refuses one that would fill the memory. */
public final class BoundedFrameDecoder extends ProtobufVarint32FrameDecoder {

	private final int maxBytes;

	/**
	 * Creates a decoder for one connection.
	 * @param maxBytes the most bytes of a frame
	 */
	public BoundedFrameDecoder(int maxBytes) {
		this.maxBytes = maxBytes;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
		int before = out.size();
		super.decode(context, in, out);
		if (out.size() == before && in.readableBytes() > this.maxBytes) {
			throw new TooLongFrameException("a frame exceeds " + this.maxBytes + " bytes");
		}
	}

}
