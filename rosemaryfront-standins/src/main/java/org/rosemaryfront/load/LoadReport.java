package org.rosemaryfront.load;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * What callers saw in a load run.
 *
 * @param sent requests to models sent
 * @param notSent requests that the bound on open requests kept back
 * @param accepted requests to models that an entry accepted
 * @param whole accepted requests whose answer is whole and right
 * @param torn answers with tokens missing, doubled or out of place
 * @param foreign answers with tokens that are not theirs
 * @param lost accepted requests that got no whole answer
 * @param lostBy lost requests by the last thing that the caller was told
 * @param failures the first {@value #KEPT} lost, torn and foreign answers, to look at in
 * the logs
 * @param refused refused requests by code
 * @param unanswered requests whose connection broke before any answer
 * @param unreachable requests for which no connection was made
 * @param resumed times that a caller came back for the rest of an answer
 * @param redirected times that a caller was sent to the result of its request
 * @param tokens tokens that callers received
 * @param bookings what became of bookings
 * @param firstToken from sending a streamed request to its first token
 * @param betweenTokens from one token to the next
 * @param wholeAnswer from sending a request to its whole answer, for answers in one piece
 * @param booking from sending a booking to its first answer
 * @param seconds the time of the run, in seconds
 */
public record LoadReport(long sent, long notSent, long accepted, long whole, long torn, long foreign, long lost,
		Map<String, Long> lostBy, List<Failure> failures, Map<String, Long> refused, long unanswered, long unreachable,
		long resumed, long redirected, long tokens, Bookings bookings, Percentiles firstToken,
		Percentiles betweenTokens, Percentiles wholeAnswer, Percentiles booking, double seconds) {

	/** How many failures a report names. */
	public static final int KEPT = 200;

	/**
	 * Whether a promise to callers was broken.
	 * @return true when an answer was torn, foreign or lost, a booking ran twice, or a
	 * caller was told something untrue about it
	 */
	public boolean broken() {
		return this.torn + this.foreign + this.lost + this.bookings.doubled() + this.bookings.falseNotRun()
				+ this.bookings.phantom() > 0;
	}

	/**
	 * The JSON form, on one line.
	 * @return the line
	 */
	public String json() {
		try {
			return JsonMapper.builder().build().writeValueAsString(this);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * What became of bookings.
	 *
	 * @param keys bookings, each with its own idempotency key
	 * @param calls calls made for them, repeats included
	 * @param created bookings that were answered as done
	 * @param notRun bookings all of whose answers said not-run
	 * @param uncertain bookings whose caller was told may-have-run, and never more
	 * @param unanswered bookings that got no answer at all
	 * @param doubled bookings that ran more than once
	 * @param falseNotRun bookings that ran though all answers said not-run
	 * @param misled bookings that ran though the last word was not-run, after a call that
	 * got no answer; the verdict of the later call is true of that call
	 * @param phantom bookings that were answered as done and never ran
	 * @param compared whether executions were compared with the service stand-ins
	 * @param wrong the keys of the doubled, false not-run and phantom bookings
	 */
	public record Bookings(long keys, long calls, long created, long notRun, long uncertain, long unanswered,
			long doubled, long falseNotRun, long misled, long phantom, boolean compared, List<String> wrong) {
	}

	/**
	 * An accepted request without its whole answer.
	 *
	 * @param request its identifier, empty when the caller never learned it
	 * @param entry the base URL of the entry that accepted it
	 * @param ended what the caller was told last
	 * @param failed whether that was a final problem document
	 * @param tokens tokens that the caller had by then
	 * @param atMillis when it was sent, in milliseconds since 1970
	 */
	public record Failure(String request, String entry, String ended, boolean failed, int tokens, long atMillis) {
	}

	/**
	 * Percentiles of a time, in milliseconds.
	 *
	 * @param count the number of values
	 * @param p50 half of the values are at most this
	 * @param p95 95 of 100 values are at most this
	 * @param p99 99 of 100 values are at most this
	 * @param max the greatest value
	 */
	public record Percentiles(long count, double p50, double p95, double p99, double max) {
	}

}
