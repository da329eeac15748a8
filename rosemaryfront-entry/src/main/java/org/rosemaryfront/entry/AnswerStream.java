package org.rosemaryfront.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink.OverflowStrategy;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.Verdict;

/**
 * The answer to one accepted request: the tokens so far, and the readers that get them.
 * Independent of any connection, towards the caller as well as towards the engine.
 *
 * <p>
 * Thread-safe: engine connections append, callers' connections read.
 */
final class AnswerStream {

	private static final Problem ABANDONED = Problem.of(ProblemCode.INTERRUPTED, Verdict.mayHaveRun(),
			"the caller did not come back in time");

	private final AcceptedRequest request;

	private final List<String> tokens = new ArrayList<>();

	private final List<AnswerReader> readers = new CopyOnWriteArrayList<>();

	private final AtomicBoolean progressPosted = new AtomicBoolean();

	private State state = new State.Running();

	private AttemptId engineStream;

	private long idleSinceNanos;

	private boolean callerKnowsId;

	private AnswerStream(AcceptedRequest request, List<String> tokens) {
		this.request = request;
		this.tokens.addAll(tokens);
		this.idleSinceNanos = System.nanoTime();
	}

	// -- factories

	/**
	 * An answer that begins.
	 * @param request the request
	 * @return the stream without tokens
	 */
	static AnswerStream of(AcceptedRequest request) {
		return new AnswerStream(Objects.requireNonNull(request, "request is null"), List.of());
	}

	/**
	 * An answer that a peer began.
	 * @param request the request
	 * @param tokens the tokens so far
	 * @return the stream
	 */
	static AnswerStream adopted(AcceptedRequest request, List<String> tokens) {
		AnswerStream stream = new AnswerStream(Objects.requireNonNull(request, "request is null"), tokens);
		stream.callerKnowsId = true;
		return stream;
	}

	// -- engine side

	/**
	 * Takes tokens only from this engine stream from now on.
	 * @param stream the identifier under which the stream was opened at the engine
	 * @return the tokens so far, empty when the answer takes no tokens any more
	 */
	synchronized Optional<List<String>> attach(AttemptId stream) {
		if (!(this.state instanceof State.Running)) {
			return Optional.empty();
		}
		this.engineStream = stream;
		return Optional.of(List.copyOf(this.tokens));
	}

	/**
	 * Appends a token.
	 *
	 * <p>
	 * Guards against answers that come late, twice or for another attempt: only the next
	 * token of the attached engine stream is taken, so that nothing is missing, repeated
	 * or foreign whatever order the connections deliver in.
	 * @param stream the engine stream that it came from
	 * @param index its place in the answer
	 * @param text its text
	 * @return what became of it
	 */
	Delivery deliver(AttemptId stream, int index, String text) {
		synchronized (this) {
			if (!takesFrom(stream)) {
				return Delivery.STALE;
			}
			if (index != this.tokens.size()) {
				return Delivery.OUT_OF_ORDER;
			}
			this.tokens.add(text);
		}
		wakeReaders();
		return Delivery.DELIVERED;
	}

	/**
	 * Ends the answer as whole.
	 * @param stream the engine stream that says so
	 * @param reason {@code stop} or {@code length}
	 * @param count the length of the whole answer
	 * @return what became of it
	 */
	Delivery finish(AttemptId stream, String reason, int count) {
		synchronized (this) {
			if (!takesFrom(stream)) {
				return Delivery.STALE;
			}
			if (count != this.tokens.size()) {
				return Delivery.OUT_OF_ORDER;
			}
			end(new State.Ended(new AnswerEvent.Finished(reason)));
		}
		wakeReaders();
		return Delivery.DELIVERED;
	}

	/**
	 * Ends the answer that a peer completed.
	 * @param reason {@code stop} or {@code length}
	 */
	void finishAdopted(String reason) {
		synchronized (this) {
			end(new State.Ended(new AnswerEvent.Finished(reason)));
		}
		wakeReaders();
	}

	/**
	 * Ends the answer as failed, unless it has ended.
	 * @param problem what the caller reads
	 * @return whether it was open
	 */
	boolean fail(Problem problem) {
		synchronized (this) {
			if (!isOpen()) {
				return false;
			}
			end(new State.Ended(new AnswerEvent.Failed(problem)));
		}
		wakeReaders();
		return true;
	}

	/**
	 * Ends the answer, since no caller wants it any more.
	 * @return whether it was open and nobody read it
	 */
	synchronized boolean abandon() {
		if (!(this.state instanceof State.Running) || hasReaders()) {
			return false;
		}
		end(new State.Ended(new AnswerEvent.Failed(ABANDONED)));
		return true;
	}

	// -- hand-off

	/**
	 * Takes no tokens until the answer is moved or thawed, so that the tokens handed to a
	 * peer are all that any caller of this process ever reads.
	 * @return the tokens so far, empty when the answer has moved already
	 */
	synchronized Optional<List<String>> freeze() {
		if (this.state instanceof State.Running) {
			this.state = new State.Frozen();
		}
		return (this.state instanceof State.Moved) ? Optional.empty() : Optional.of(List.copyOf(this.tokens));
	}

	/**
	 * Ends the answer here, since a peer has taken it.
	 */
	void moved() {
		synchronized (this) {
			if (this.state instanceof State.Ended) {
				return;
			}
			end(new State.Moved());
		}
		wakeReaders();
	}

	/**
	 * Takes tokens again after a hand-off that no peer took.
	 */
	synchronized void thaw() {
		if (this.state instanceof State.Frozen) {
			this.state = new State.Running();
		}
	}

	// -- caller side

	/**
	 * Reads the answer from a token on. Each reader has its own pace; a slow one holds up
	 * nobody.
	 * @param offset the first token wanted
	 * @return the events, which end after {@code Finished}, {@code Failed} or
	 * {@code Moved}
	 */
	Flux<AnswerEvent> read(int offset) {
		return Flux.create((sink) -> {
			AnswerReader reader = new AnswerReader(this, sink, offset);
			this.readers.add(reader);
			sink.onRequest((_) -> reader.drain());
			sink.onDispose(() -> release(reader));
			reader.drain();
		}, OverflowStrategy.BUFFER);
	}

	/**
	 * The event at a place of the answer.
	 * @param position the number of tokens read
	 * @return the next token or the end, empty when it has not come yet
	 */
	synchronized Optional<AnswerEvent> eventAt(int position) {
		if (position < this.tokens.size()) {
			return Optional.of(new AnswerEvent.Token(position, this.tokens.get(position)));
		}
		return switch (this.state) {
			case State.Running _, State.Frozen _ -> Optional.empty();
			case State.Ended ended -> Optional.of(ended.last());
			case State.Moved _ -> Optional.of(new AnswerEvent.Moved());
		};
	}

	/**
	 * Notes that the caller was told the request's identifier and can come back.
	 */
	synchronized void callerToldId() {
		this.callerKnowsId = true;
	}

	/**
	 * Lets readers send heartbeats and gives up on those that take nothing.
	 * @param now the time on the monotonic clock, in nanoseconds
	 * @param heartbeatNanos the time without an event after which a heartbeat is due
	 * @param stallNanos the time without demand after which a reader is given up
	 */
	void tick(long now, long heartbeatNanos, long stallNanos) {
		this.readers.forEach((reader) -> reader.tick(now, heartbeatNanos, stallNanos));
	}

	private void release(AnswerReader reader) {
		this.readers.remove(reader);
		synchronized (this) {
			this.idleSinceNanos = System.nanoTime();
		}
	}

	private void wakeReaders() {
		this.readers.forEach(AnswerReader::drain);
	}

	// -- queries

	/**
	 * How long nobody has read the answer.
	 * @param now the time on the monotonic clock, in nanoseconds
	 * @return nanoseconds, 0 while there is a reader
	 */
	synchronized long idleNanos(long now) {
		return this.readers.isEmpty() ? Math.max(0, now - this.idleSinceNanos) : 0;
	}

	/**
	 * Whether the caller can come back: it was told the identifier.
	 * @return whether it was told
	 */
	synchronized boolean canResume() {
		return this.callerKnowsId;
	}

	/**
	 * Whether tokens are still to come here.
	 * @return whether it has neither ended nor moved
	 */
	synchronized boolean isOpen() {
		return this.state instanceof State.Running || this.state instanceof State.Frozen;
	}

	/**
	 * Whether a peer goes on with the answer.
	 * @return whether it moved
	 */
	synchronized boolean isMoved() {
		return this.state instanceof State.Moved;
	}

	/**
	 * How the answer ended.
	 * @return {@code Finished} or {@code Failed}, empty before the end and after a move
	 */
	synchronized Optional<AnswerEvent> ending() {
		return (this.state instanceof State.Ended ended) ? Optional.of(ended.last()) : Optional.empty();
	}

	/**
	 * Whether anybody reads the answer now.
	 * @return whether there is a reader
	 */
	boolean hasReaders() {
		return !this.readers.isEmpty();
	}

	/**
	 * Marks a progress report as posted, so that at most one is on its way.
	 * @return whether none was on its way
	 */
	boolean claimProgress() {
		return this.progressPosted.compareAndSet(false, true);
	}

	/**
	 * Takes the progress report.
	 * @return the number of tokens so far
	 */
	int takeProgress() {
		this.progressPosted.set(false);
		return size();
	}

	/**
	 * What was asked.
	 * @return the request
	 */
	AcceptedRequest request() {
		return this.request;
	}

	/**
	 * The length of the answer so far.
	 * @return the number of tokens
	 */
	synchronized int size() {
		return this.tokens.size();
	}

	/**
	 * The answer so far.
	 * @return the tokens
	 */
	synchronized List<String> tokens() {
		return List.copyOf(this.tokens);
	}

	private boolean takesFrom(AttemptId stream) {
		return this.state instanceof State.Running && stream.equals(this.engineStream);
	}

	private void end(State next) {
		this.state = next;
		this.idleSinceNanos = System.nanoTime();
	}

	/** What became of an event of an engine. */
	enum Delivery {

		/** It was taken. */
		DELIVERED,

		/** It belongs to an earlier or foreign attempt. */
		STALE,

		/** It is not the next of its answer. */
		OUT_OF_ORDER

	}

	private sealed interface State {

		/** Tokens come from the attached engine stream. */
		record Running() implements State {
		}

		/** A hand-off is on its way. */
		record Frozen() implements State {
		}

		/** A peer holds the answer. */
		record Moved() implements State {
		}

		/**
		 * Nothing more comes.
		 *
		 * @param last the last event that readers get
		 */
		record Ended(AnswerEvent last) implements State {
		}

	}

}
