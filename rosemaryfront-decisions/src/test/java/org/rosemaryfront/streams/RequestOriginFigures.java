package org.rosemaryfront.streams;

import java.util.List;

import org.rosemaryfront.streams.OriginFleet.Question;

/**
 * Compares ways of taking streams up by their requests on the same seeds, run by hand.
 */
final class RequestOriginFigures {

	private RequestOriginFigures() {
	}

	static void main(String[] arguments) {
		int gateways = Integer.parseInt(arguments[0]);
		for (long seed = Long.parseLong(arguments[1]); seed <= Long.parseLong(arguments[2]); seed++) {
			for (RequestTrouble trouble : RequestTrouble.values()) {
				for (Question question : List.of(Question.REQUEST_ANY_ANSWER, Question.REQUEST)) {
					System.out.println(seed + " " + trouble + " " + trouble.play(question, gateways, seed).outcome());
				}
			}
		}
	}

}
