package org.rosemaryfront.http;

import java.util.Optional;

import io.netty.buffer.ByteBuf;

/**
 * Checks the bytes of responses that a lenient decoder reads but does not show: it ends
 * the name of a header and the size of a chunk at a blank and skips what follows.
 */
final class ResponseSyntax {

	private static final int LINE_END_BYTES = 2;

	private static final int HEX = 16;

	private State state = State.BEFORE_HEAD;

	/** The size of the current chunk as far as it was received, in bytes. */
	private long chunkBytes;

	/** The bytes that are left of the current chunk and the end of line behind it. */
	private long bytesLeft;

	/** Whether the current section has a header, which the next line may continue. */
	private boolean headerReceived;

	private Optional<String> fault = Optional.empty();

	private ResponseSyntax() {
	}

	/**
	 * Creates the check of a connection.
	 * @return the check, which expects a head
	 */
	static ResponseSyntax expectingHead() {
		return new ResponseSyntax();
	}

	/**
	 * Returns why the current response is not valid.
	 * @return the cause, empty while it is valid
	 */
	Optional<String> fault() {
		return this.fault;
	}

	/** Called behind the head of a response whose body is chunked. */
	void chunksFollow() {
		this.state = State.SIZE_START;
	}

	/** Called when the current response is complete. */
	void responseEnds() {
		this.state = State.BEFORE_HEAD;
		this.headerReceived = false;
		this.fault = Optional.empty();
	}

	/**
	 * Checks bytes that were decoded.
	 * @param bytes the buffer
	 * @param from the index of the first byte
	 * @param to the index behind the last byte
	 */
	void decoded(ByteBuf bytes, int from, int to) {
		int i = from;
		while (i < to && this.state != State.UNCHECKED) {
			if (this.state == State.CHUNK) {
				i += skipChunk(to - i);
			}
			else {
				this.state = next(bytes.getByte(i++));
			}
		}
	}

	private State next(byte octet) {
		return switch (this.state) {
			case BEFORE_HEAD -> isSkipped(octet) ? State.BEFORE_HEAD : State.STATUS_LINE;
			case STATUS_LINE, VALUE -> (octet == '\n') ? State.LINE_START : this.state;
			case LINE_START -> beginLine(octet);
			case NAME -> inName(octet);
			case NAME_END -> behindName(octet);
			case SIZE_START -> isHexDigit(octet) ? inSize(octet) : invalid("a chunk has no size");
			case SIZE -> inSize(octet);
			case SIZE_END -> behindSize(octet);
			case SIZE_LINE_END -> (octet == '\n') ? chunkOrTrailers() : invalidSize();
			case EXTENSION -> (octet == '\n') ? chunkOrTrailers() : State.EXTENSION;
			case CHUNK, UNCHECKED -> this.state;
		};
	}

	// The decoder skips white space and control characters there.
	private static boolean isSkipped(byte octet) {
		return Character.isISOControl(octet & 0xff) || Character.isWhitespace(octet & 0xff);
	}

	private State beginLine(byte octet) {
		if (octet == '\n') {
			return State.UNCHECKED;
		}
		if (octet == '\r') {
			return State.LINE_START;
		}
		if (isBlank(octet)) {
			return this.headerReceived ? State.VALUE : invalid("a line in front of the first header is indented");
		}
		this.headerReceived = true;
		return inName(octet);
	}

	private State inName(byte octet) {
		if (octet == ':') {
			return State.VALUE;
		}
		if (octet == '\n') {
			return invalid("a header has no colon");
		}
		return isBlank(octet) ? State.NAME_END : State.NAME;
	}

	// Blanks between the name and the colon are to be removed.
	private State behindName(byte octet) {
		if (octet == ':') {
			return State.VALUE;
		}
		return isBlank(octet) ? State.NAME_END : invalid("the name of a header contains a blank");
	}

	private State inSize(byte octet) {
		if (!isHexDigit(octet)) {
			return behindSize(octet);
		}
		this.chunkBytes = this.chunkBytes * HEX + Character.digit(octet, HEX);
		return (this.chunkBytes <= Integer.MAX_VALUE) ? State.SIZE : invalid("a chunk is too long");
	}

	private State behindSize(byte octet) {
		return switch (octet) {
			case '\n' -> chunkOrTrailers();
			case ';' -> State.EXTENSION;
			case ' ', '\t' -> State.SIZE_END;
			case '\r' -> State.SIZE_LINE_END;
			default -> invalidSize();
		};
	}

	private State invalidSize() {
		return invalid("the size of a chunk is followed by other bytes");
	}

	private State chunkOrTrailers() {
		if (this.chunkBytes == 0) {
			this.headerReceived = false;
			return State.LINE_START;
		}
		this.bytesLeft = this.chunkBytes + LINE_END_BYTES;
		this.chunkBytes = 0;
		return State.CHUNK;
	}

	private int skipChunk(int available) {
		int skipped = (int) Math.min(available, this.bytesLeft);
		this.bytesLeft -= skipped;
		if (this.bytesLeft == 0) {
			this.state = State.SIZE_START;
		}
		return skipped;
	}

	private static boolean isHexDigit(byte octet) {
		return octet >= 0 && Character.digit(octet, HEX) >= 0;
	}

	private State invalid(String cause) {
		this.fault = Optional.of(cause);
		return State.UNCHECKED;
	}

	private static boolean isBlank(byte octet) {
		return octet == ' ' || octet == '\t';
	}

	/** What the next byte belongs to. */
	private enum State {

		BEFORE_HEAD, STATUS_LINE,

		/** The line of a header or the empty one behind all headers. */
		LINE_START,

		NAME,

		/** Blanks behind a name. */
		NAME_END,

		VALUE,

		/** The first digit of the size of a chunk. */
		SIZE_START,

		SIZE,

		/** Blanks behind a size. */
		SIZE_END,

		/** The last byte of the line of a size. */
		SIZE_LINE_END,

		EXTENSION,

		/** The bytes of a chunk and the end of line behind them. */
		CHUNK,

		UNCHECKED

	}

}
