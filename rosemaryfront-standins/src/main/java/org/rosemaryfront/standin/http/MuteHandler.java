package org.rosemaryfront.standin.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/**
 * Makes a connection carry nothing for good, as when something between its two ends has
 * lost track of it: what is written vanishes, what arrives is dropped and the other end
 * learns of no close.
 */
final class MuteHandler extends ChannelDuplexHandler {

	private volatile boolean mute;

	void mute() {
		this.mute = true;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.mute) {
			ReferenceCountUtil.release(message);
		}
		else {
			context.fireChannelRead(message);
		}
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (this.mute) {
			ReferenceCountUtil.release(message);
			promise.trySuccess();
		}
		else {
			context.write(message, promise);
		}
	}

	@Override
	public void close(ChannelHandlerContext context, ChannelPromise promise) {
		if (this.mute) {
			promise.trySuccess();
		}
		else {
			context.close(promise);
		}
	}

}
