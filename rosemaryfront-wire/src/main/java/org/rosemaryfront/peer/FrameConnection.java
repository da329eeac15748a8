package org.rosemaryfront.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import reactor.core.publisher.FluxSink;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.peer.proto.Frame;

/**
 * The asking end of a connection to a peer; all of its state belongs to its event loop.
 *
 * <p>
 * While a question is open it sends heartbeats, which the peer echoes. A connection can
 * go silent for good, when something between the two ends has lost track of it: writes
 * succeed, nothing ever arrives and no error comes. Without the silence limit each
 * question on it would wait out its own limit, and the next one too. With it the
 * connection is closed at the first sign and never used again.
 */
final class FrameConnection extends SimpleChannelInboundHandler<Frame> {

	private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final String address;

	private final long silenceNanos;

	private final Runnable onClosed;

	private final Map<Long, FluxSink<Frame>> questions = new HashMap<>();

	private ChannelHandlerContext context;

	private long lastNumber;

	private long lastReadAt;

	private long lastUseAt;

	private boolean answered;

	FrameConnection(String address, long silenceNanos, Runnable onClosed) {
		this.address = address;
		this.silenceNanos = silenceNanos;
		this.onClosed = onClosed;
	}

	// -- questions

	/**
	 * Asks a question; called on the event loop.
	 * @param question the question without its number
	 * @param sink takes the answers
	 */
	void ask(Frame question, FluxSink<Frame> sink) {
		if (!usable()) {
			sink.error(disconnected("is closed"));
			return;
		}
		this.lastNumber++;
		long number = this.lastNumber;
		this.lastUseAt = System.nanoTime();
		if (this.questions.isEmpty()) {
			this.lastReadAt = this.lastUseAt;
		}
		this.questions.put(number, sink);
		sink.onCancel(() -> this.context.executor().execute(() -> cancel(number)));
		this.context.writeAndFlush(question.toBuilder().setNumber(number).build());
	}

	/**
	 * Whether the connection was proven by an answer, so that a failure on it can be the
	 * connection's own.
	 * @return true when an answer came on it before
	 */
	boolean proven() {
		return this.answered;
	}

	boolean usable() {
		return this.context != null && this.context.channel().isActive();
	}

	private void cancel(long number) {
		if (this.questions.remove(number) != null && usable()) {
			this.context.writeAndFlush(Frame.newBuilder().setNumber(number).setCancel(true).build());
		}
	}

	// -- channel

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
		this.lastUseAt = System.nanoTime();
		this.lastReadAt = this.lastUseAt;
		added.executor().schedule(this::beat, this.silenceNanos / 4, TimeUnit.NANOSECONDS);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext current, Frame frame) {
		this.lastReadAt = System.nanoTime();
		if (frame.getNumber() == 0) {
			return;
		}
		this.answered = true;
		// A late answer to a question that was given up finds no sink and is dropped.
		FluxSink<Frame> sink = this.questions.get(frame.getNumber());
		if (sink != null) {
			deliver(frame, sink);
		}
	}

	private void deliver(Frame frame, FluxSink<Frame> sink) {
		if (frame.getLast()) {
			this.questions.remove(frame.getNumber());
		}
		if (!frame.getError().isEmpty()) {
			sink.error(PeerException.of(PeerException.Code.FAILED, this.address + ": " + frame.getError()));
			return;
		}
		if (frame.getKindCase() != Frame.KindCase.KIND_NOT_SET) {
			sink.next(frame);
		}
		if (frame.getLast()) {
			sink.complete();
		}
	}

	private void beat() {
		if (!this.context.channel().isOpen()) {
			return;
		}
		long now = System.nanoTime();
		if (!this.questions.isEmpty()) {
			if (now - this.lastReadAt > this.silenceNanos) {
				EventLog.warn(MembershipEvents.CONNECTION_SILENT, "peer", this.address, "questions",
						this.questions.size());
				fail("went silent");
				this.context.close();
				return;
			}
			this.context.writeAndFlush(FramePipeline.HEARTBEAT);
		}
		else if (now - this.lastUseAt > IDLE_NANOS) {
			this.context.close();
			return;
		}
		this.context.executor().schedule(this::beat, this.silenceNanos / 4, TimeUnit.NANOSECONDS);
	}

	@Override
	public void channelInactive(ChannelHandlerContext current) {
		fail("was closed");
		this.onClosed.run();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext current, Throwable cause) {
		EventLog.warn(MembershipEvents.CONNECTION_BROKEN, "peer", this.address, "cause", cause);
		fail("broke: " + cause.getMessage());
		current.close();
	}

	private void fail(String reason) {
		this.onClosed.run();
		List<FluxSink<Frame>> open = new ArrayList<>(this.questions.values());
		this.questions.clear();
		open.forEach((sink) -> sink.error(disconnected(reason)));
	}

	private PeerException disconnected(String reason) {
		return PeerException.of(PeerException.Code.DISCONNECTED, "the connection to " + this.address + " " + reason);
	}

}
