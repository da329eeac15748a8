package org.rosemaryfront.ctl;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Option;

/**
 * Prints every change as one JSON line; resumes at another server when one falls away.
 */
public final class WatchCommand extends ServerCommand {

	private static final long PAUSE_MILLIS = 500;

	/** How often in a row a watch may break off without a line before it is given up. */
	private static final int ATTEMPTS = 10;

	@Option(name = "--since", metaVar = "REVISION", usage = "begin after this revision (default: the one in force)")
	private long since = -1;

	@Option(name = "--until", metaVar = "REVISION", usage = "end when this revision has been shown (default: never)")
	private long until = Long.MAX_VALUE;

	@Override
	ExitCode run(Console console, OperatorApi api) {
		int failures = 0;
		int server = 0;
		while (this.since < this.until) {
			long before = this.since;
			String failure = follow(console, api, server);
			failures = (this.since > before) ? 0 : failures + 1;
			if (this.since < this.until) {
				if (failures >= Math.max(ATTEMPTS, api.size())) {
					throw CtlException.of(ExitCode.UNREACHABLE, "no server can be watched: " + failure);
				}
				console.err().println("the watch broke off (" + failure + "); resuming from " + this.since);
				server++;
				pause();
			}
		}
		return ExitCode.DONE;
	}

	private String follow(Console console, OperatorApi api, int server) {
		try {
			api.stream(server, "/apis/v1/watch" + ((this.since >= 0) ? "?since=" + this.since : ""))
				.doOnNext((event) -> show(console, event))
				.takeUntil((_) -> this.since >= this.until)
				.blockLast();
			return "the server ended it";
		}
		catch (CtlException ex) {
			throw ex;
		}
		catch (RuntimeException ex) {
			return String.valueOf(ex.getMessage());
		}
	}

	private void show(Console console, JsonNode event) {
		if (event.has("bookmark")) {
			this.since = Math.max(this.since, event.path("bookmark").asLong());
		}
		else {
			console.out().println(event);
		}
	}

	private static void pause() {
		try {
			Thread.sleep(Duration.ofMillis(PAUSE_MILLIS));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw CtlException.of(ExitCode.FAILED, "interrupted", ex);
		}
	}

}
