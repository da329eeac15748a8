package org.rosemaryfront.http;

import java.util.Optional;

import io.netty.buffer.ByteBuf;

/**
 * Checks the bytes of responses that a lenient decoder reads but does not show: it ends
 * the name of a header at a blank and skips the rest up to the colon.
 */
final class ResponseSyntax {

	private State state = State.BEFORE_HEAD;

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
		for (int i = from; i < to && this.state != State.BODY; i++) {
			this.state = next(bytes.getByte(i));
		}
	}

	private State next(byte octet) {
		return switch (this.state) {
			case BEFORE_HEAD -> isSkipped(octet) ? State.BEFORE_HEAD : State.STATUS_LINE;
			case STATUS_LINE, VALUE -> (octet == '\n') ? State.LINE_START : this.state;
			case LINE_START -> beginLine(octet);
			case NAME -> inName(octet);
			case NAME_END -> behindName(octet);
			case BODY -> State.BODY;
		};
	}

	// The decoder skips white space and control characters there.
	private static boolean isSkipped(byte octet) {
		return Character.isISOControl(octet & 0xff) || Character.isWhitespace(octet & 0xff);
	}

	private State beginLine(byte octet) {
		if (octet == '\n') {
			return State.BODY;
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

	private State invalid(String cause) {
		this.fault = Optional.of(cause);
		return State.BODY;
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

		/** What is not checked. */
		BODY

	}

}
