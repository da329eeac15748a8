package org.rosemaryfront.gateway;

import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.dispatch.BackendServer.Start;
import org.rosemaryfront.dispatch.Dispatcher.Choice;
import org.rosemaryfront.dispatch.FirstTokenModel.Work;
import org.rosemaryfront.dispatch.SharedParts;
import org.rosemaryfront.ports.CallTerms.Prompt;
import org.rosemaryfront.quota.QuotaTable.Taking;
import org.rosemaryfront.traffic.Call;

/**
 * What was decided about a call under way: its units, the servers that had it, and what
 * is expected of the last one. Used on the control thread.
 */
final class CallProgress {

	private final SharedParts shared;

	private final Set<String> tried = new HashSet<>();

	private Optional<Start> server = Optional.empty();

	private long unreadTokens;

	/** When its first token was expected, behind its sending. */
	private long expectedMillis;

	/** Whether a first token is expected that did not come yet. */
	private boolean awaited;

	private long sentNanos;

	/** What its server had to do until its first token, unless it fetched parts. */
	private Optional<Work> work = Optional.empty();

	private double units;

	/** When its units were taken. */
	private long takenNanos;

	/** What of the quota was used of what is allowed, for the log. */
	private String quota = "none";

	/** With whom it was shared, for the log. */
	private String gateways = "none";

	private boolean ran;

	private int unsent;

	private CallProgress(SharedParts shared) {
		this.shared = shared;
	}

	// -- factories

	/**
	 * A call that came in.
	 * @param call the call
	 * @return its progress, with nothing decided
	 */
	static CallProgress of(Call call) {
		return of(call.terms().prompt().map(Prompt::shared).orElse(SharedParts.none()));
	}

	static CallProgress of(SharedParts shared) {
		return new CallProgress(shared);
	}

	// -- changes

	void admitted(double taken, Taking taking, long nowNanos) {
		this.units = taken;
		this.takenNanos = nowNanos;
		this.gateways = gateways(taking);
		this.quota = String.format(Locale.ROOT, "%.0f/%.0f", taking.used(), taking.limit());
	}

	void sent(Choice.Chosen chosen, long nowNanos) {
		this.tried.add(chosen.server().id());
		this.server = Optional.of(chosen.server().start());
		this.unreadTokens = chosen.unreadTokens();
		this.expectedMillis = chosen.expectedMillis();
		this.awaited = chosen.work().isPresent();
		// What is fetched takes time that the work does not speak of.
		this.work = chosen.fetchFrom().isPresent() ? Optional.empty() : chosen.work();
		this.sentNanos = nowNanos;
	}

	/**
	 * With whom the quota of a call was shared, for the log.
	 * @param taking what came of the wish for units
	 * @return the gateways of the group, of all that may serve callers
	 */
	static String gateways(Taking taking) {
		return taking.sharing().group() + "/" + taking.sharing().members();
	}

	/** It did not reach the server that it was given to. */
	void notSent() {
		this.unsent++;
	}

	/** A server may have run it, so that its units are spent. */
	void mayHaveRun() {
		this.ran = true;
	}

	/**
	 * Takes the units that it was admitted with.
	 * @return the units; 0 once they were taken
	 */
	double takeUnits() {
		double taken = this.units;
		this.units = 0;
		return taken;
	}

	/**
	 * Takes the prompt tokens that its server still had to read.
	 * @return the tokens; 0 once they were taken
	 */
	long takeUnread() {
		long taken = this.unreadTokens;
		this.unreadTokens = 0;
		return taken;
	}

	/**
	 * Its first token came, or its answer.
	 * @param nowNanos the time
	 * @return how long it took, against what was expected where something was; empty when
	 * it has no server
	 */
	OptionalDouble beganRatio(long nowNanos) {
		long millis = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.sentNanos);
		return this.server.isPresent() ? OptionalDouble.of((1.0 + millis) / (1 + this.expectedMillis))
				: OptionalDouble.empty();
	}

	/**
	 * Its first token came.
	 * @param nowNanos the time
	 * @return how long it took against what was expected, empty when nothing was expected
	 * or it came before
	 */
	Optional<FirstToken> firstToken(long nowNanos) {
		if (!this.awaited || this.server.isEmpty()) {
			return Optional.empty();
		}
		long millis = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.sentNanos);
		FirstToken first = new FirstToken(this.server.get(), this.expectedMillis, millis, this.work);
		this.awaited = false;
		return Optional.of(first);
	}

	// -- queries

	SharedParts shared() {
		return this.shared;
	}

	Set<String> tried() {
		return this.tried;
	}

	Optional<Start> server() {
		return this.server;
	}

	double units() {
		return this.units;
	}

	long sentNanos() {
		return this.sentNanos;
	}

	long takenNanos() {
		return this.takenNanos;
	}

	String quota() {
		return this.quota;
	}

	String gateways() {
		return this.gateways;
	}

	boolean ran() {
		return this.ran;
	}

	int unsent() {
		return this.unsent;
	}

	/**
	 * How long a first token took.
	 *
	 * @param server who made it
	 * @param expectedMillis the time that was expected, in milliseconds
	 * @param millis the time that it took, in milliseconds
	 * @param work what the server had to do, empty when that is not all that took time
	 */
	record FirstToken(Start server, long expectedMillis, long millis, Optional<Work> work) {
	}

}
