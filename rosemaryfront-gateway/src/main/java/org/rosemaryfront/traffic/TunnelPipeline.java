package org.rosemaryfront.traffic;

import java.util.Optional;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;

import org.rosemaryfront.gateway.proto.ServerNotice;
import org.rosemaryfront.gateway.proto.TunnelFrame;
import org.rosemaryfront.gateway.proto.TunnelRefusal;
import org.rosemaryfront.limits.ServerStatements;
import org.rosemaryfront.limits.StatedBackoff;
import org.rosemaryfront.limits.StatedLeaving;
import org.rosemaryfront.limits.StatedLimit;
import org.rosemaryfront.peer.BoundedFrameDecoder;

/** The codecs of both ends of a tunnel, and the frames that have no varying content. */
final class TunnelPipeline {

	static final TunnelFrame OPENED = TunnelFrame.newBuilder().setOpened(true).setTakesNotices(true).build();

	static final TunnelFrame CLOSED = closed(true);

	static final TunnelFrame IDLE = TunnelFrame.newBuilder().setIdle(true).build();

	/** Larger than what one read from a socket returns. */
	private static final int MAX_FRAME_BYTES = 1_048_576;

	private TunnelPipeline() {
	}

	static void addCodecs(ChannelPipeline pipeline) {
		pipeline.addLast(new BoundedFrameDecoder(MAX_FRAME_BYTES));
		pipeline.addLast(new ProtobufDecoder(TunnelFrame.getDefaultInstance()));
		pipeline.addLast(new ProtobufVarint32LengthFieldPrepender());
		pipeline.addLast(new ProtobufEncoder());
	}

	/**
	 * Creates a frame with bytes to or from the server.
	 * @param bytes the bytes; released by this method
	 * @return the frame
	 */
	static TunnelFrame data(ByteBuf bytes) {
		try {
			return TunnelFrame.newBuilder().setData(ByteString.copyFrom(bytes.nioBuffer())).build();
		}
		finally {
			bytes.release();
		}
	}

	static ByteBuf bytes(TunnelFrame frame) {
		return Unpooled.wrappedBuffer(frame.getData().toByteArray());
	}

	/**
	 * Creates the frame that refuses a server or a call.
	 * @param cause the cause, for the log
	 * @param unreachable whether the server was tried and not reached
	 * @return the frame
	 */
	static TunnelFrame refused(String cause, boolean unreachable) {
		return TunnelFrame.newBuilder()
			.setRefused(TunnelRefusal.newBuilder().setCause(cause).setUnreachable(unreachable))
			.build();
	}

	/**
	 * Creates the frame that tells what a server stated, empty if that concerns no other
	 * gateway.
	 * @param statements what it stated
	 * @return the frame
	 */
	static Optional<TunnelFrame> notice(ServerStatements statements) {
		boolean leaving = statements.leaving() == StatedLeaving.LEAVING;
		int millis = (statements.backoff() instanceof StatedBackoff.For backoff) ? (int) backoff.millis() : 0;
		if (!leaving && millis == 0) {
			return Optional.empty();
		}
		ServerNotice notice = ServerNotice.newBuilder().setLeaving(leaving).setBackoffMillis(millis).build();
		return Optional.of(TunnelFrame.newBuilder().setNotice(notice).build());
	}

	/**
	 * Returns what a server stated according to another gateway.
	 * @param notice the notice
	 * @return the statements
	 */
	static ServerStatements statements(ServerNotice notice) {
		return new ServerStatements(StatedLimit.unknown(), StatedLimit.unknown(),
				notice.getLeaving() ? StatedLeaving.LEAVING : StatedLeaving.NOT_STATED,
				StatedBackoff.ofMillis(notice.getBackoffMillis()));
	}

	/**
	 * Creates the frame that ends a tunnel whose server has closed its connection.
	 * @param requestTaken whether all bytes for the server had been sent by then
	 * @return the frame
	 */
	static TunnelFrame closed(boolean requestTaken) {
		return TunnelFrame.newBuilder().setClosed(requestTaken).build();
	}

	static TunnelFrame failure(String cause) {
		return TunnelFrame.newBuilder().setFailure(cause).build();
	}

}
