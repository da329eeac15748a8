package org.rosemaryfront.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

import org.rosemaryfront.ports.AnswerTerms;

/** Takes the answer of a backend server; called on the traffic thread. */
interface AnswerListener {

	/**
	 * The head of the answer came.
	 * @param head the head
	 * @param terms what the server says of the answer
	 */
	void answerHead(HttpResponse head, AnswerTerms terms);

	/**
	 * A piece of the body came.
	 * @param bytes the bytes; the listener releases them
	 */
	void answerBytes(ByteBuf bytes);

	/** The answer is complete. */
	void answerComplete();

	/** All bytes that had arrived were handed over. */
	void answerPause();

	/**
	 * The connection ended before the answer was complete.
	 * @param cause what happened
	 */
	void answerBroken(String cause);

	/** The connection takes more bytes of the request. */
	void requestWritable();

}
