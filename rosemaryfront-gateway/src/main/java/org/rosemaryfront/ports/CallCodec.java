package org.rosemaryfront.ports;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The headers by which callers, this process and backend servers speak of a call.
 */
public interface CallCodec {

	/**
	 * Reads what a caller says.
	 * @param headers the headers of its request
	 * @return the terms; what cannot be read is taken as absent
	 */
	CallTerms terms(HttpHeaders headers);

	/**
	 * Turns the caller's headers into those for a backend server: drops the caller's key
	 * and whatever only this process may say, and says that.
	 * @param headers a copy of the caller's headers, changed in place
	 * @param handover what to say
	 */
	void handOver(HttpHeaders headers, Handover handover);

	/**
	 * Reads what a backend server says.
	 * @param status the status of its answer
	 * @param headers the headers of its answer
	 * @return the terms
	 */
	AnswerTerms answer(int status, HttpHeaders headers);

	/**
	 * Drops from an answer whatever is of no use to the caller.
	 * @param headers the headers of the answer, changed in place
	 */
	void handBack(HttpHeaders headers);

}
