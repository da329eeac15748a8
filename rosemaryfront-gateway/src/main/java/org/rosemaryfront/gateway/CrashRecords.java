package org.rosemaryfront.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;

import org.rosemaryfront.crashes.Crash;
import org.rosemaryfront.crashes.CrashTable;
import org.rosemaryfront.crashes.Evidence;
import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.crashes.Judgement;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Start;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.gateway.proto.CrashNews;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.RowStore.Commit;
import org.rosemaryfront.ports.RowStore.Condition;
import org.rosemaryfront.ports.RowStore.Outcome;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.ports.RowStore.Write;
import org.rosemaryfront.program.ControlLoop;

/**
 * Keeps what is known of requests under which backend servers crash: finds out whether a
 * server crashed, writes that into the store, where it lasts over a kill of all processes
 * and reaches gateways that do not hear this one, and tells the others at once. Used on
 * the control thread.
 */
final class CrashRecords {

	/**
	 * The time between two looks at what is to be written, in nanoseconds: the control
	 * thread comes by with each call.
	 */
	private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	/** Rows written at once; the store takes a hundred a call. */
	private static final int MOST_WRITES = 50;

	/** How long rows of what was cleared are kept, for news that come late. */
	private static final long CLEARED_KEPT_MILLIS = 600_000;

	/**
	 * How long crashes of a request are kept that is not held back: a request that
	 * crashes servers comes again within that time, and others are long forgotten by
	 * then.
	 */
	private static final long KEPT_MILLIS = 86_400_000;

	private final RowStore store;

	private final BackendTable servers;

	private final CrashTable table = new CrashTable();

	private final ControlLoop control;

	/** This start of this gateway. */
	private final String process;

	private final Hooks hooks;

	/** Which crash a row is about, for rows that go. */
	private final Map<String, Crash> rows = new HashMap<>();

	/** Which start of a gateway has, or had, the trial of a request. */
	private final Map<RequestDigest, String> trialHolders = new HashMap<>();

	/** Trials that this process asked for and has not given back. */
	private final Set<RequestDigest> ownTrials = new HashSet<>();

	/** Servers that are asked whether they live. */
	private final Set<Start> asked = new HashSet<>();

	/** Requests of which the log says that they are held back. */
	private final Set<RequestDigest> toldHeld = new HashSet<>();

	private boolean writing;

	private long lookedNanos = System.nanoTime();

	private volatile boolean known;

	/** Whether the others should hear of news soon. */
	private boolean urgent;

	CrashRecords(RowStore store, BackendTable servers, ControlLoop control, String process, Hooks hooks) {
		this.store = store;
		this.servers = servers;
		this.control = control;
		this.process = process;
		this.hooks = hooks;
	}

	// -- queries

	/**
	 * Whether the table was read once. A process that starts must know it before it sends
	 * anything: what was learned before a kill of all is nowhere else.
	 * @return true from then on; may be asked on any thread
	 */
	boolean isKnown() {
		return this.known;
	}

	/**
	 * Whether a request must not be sent, but for its trial; may be asked on any thread.
	 * @param request the request
	 * @return true when it is held back
	 */
	boolean isHeld(RequestDigest request) {
		return this.table.isHeld(request);
	}

	Judgement judge(RequestDigest request) {
		return this.table.judge(request);
	}

	Map<RequestDigest, List<Evidence>> all() {
		return this.table.all();
	}

	int suspectCount() {
		return this.table.size();
	}

	int heldCount() {
		return this.table.heldCount();
	}

	// -- what calls show

	/**
	 * A connection broke off in the middle of a call.
	 * @param request the request
	 * @param server the server that had it
	 * @param now the time
	 */
	void broke(RequestDigest request, BackendServer server, long now) {
		Crash crash = new Crash(request, server.start());
		if (this.table.suspected(crash, System.currentTimeMillis(), now)) {
			review(request);
			if (this.asked.add(server.start())) {
				this.hooks.ask(server, (lives) -> this.control.post((at) -> answeredWhetherItLives(server, lives, at)));
			}
		}
	}

	private void answeredWhetherItLives(BackendServer server, boolean lives, long now) {
		this.asked.remove(server.start());
		if (lives) {
			lives(server.start(), now, "the server takes connections", now);
		}
		else {
			crashed(server.start(), "no connection can be made", now);
		}
	}

	/**
	 * A server crashed.
	 * @param server the start of the server
	 * @param sign what shows it
	 * @param now the time
	 */
	void crashed(Start server, String sign, long now) {
		this.servers.crashed(server, now);
		for (Evidence evidence : this.table.crashed(server, now)) {
			this.urgent = true;
			noteCrash(evidence, sign);
			review(evidence.crash().request());
		}
	}

	/**
	 * A server answered a call.
	 * @param server the start of the server
	 * @param sentNanos when the call was sent
	 * @param now the time
	 */
	void answers(Start server, long sentNanos, long now) {
		lives(server, sentNanos, "the server answered", now);
	}

	private void lives(Start server, long sentNanos, String sign, long now) {
		List<Evidence> cleared = this.table.answers(server, sentNanos, now);
		if (!cleared.isEmpty()) {
			this.servers.lives(server);
			noteCleared(cleared, sign);
		}
	}

	/**
	 * A request was answered whole.
	 * @param request the request
	 * @param now the time
	 */
	void answered(RequestDigest request, long now) {
		clear(request, "the request was answered", now);
	}

	/**
	 * An operator releases a request.
	 * @param request the request
	 * @param now the time
	 * @return whether anything was known of it
	 */
	boolean release(RequestDigest request, long now) {
		return clear(request, "released by an operator", now);
	}

	private boolean clear(RequestDigest request, String cause, long now) {
		List<Evidence> cleared = this.table.cleared(request, now);
		noteCleared(cleared, cause);
		if (!cleared.isEmpty() && this.trialHolders.containsKey(request)) {
			returnTrial(request);
		}
		return !cleared.isEmpty();
	}

	// -- the trial

	/**
	 * Asks for the one trial of a request. It is written down before the request is sent,
	 * so that there is one for all gateways and all their starts.
	 * @param request the request
	 * @param reply whether this gateway has it
	 */
	void claimTrial(RequestDigest request, Consumer<Boolean> reply) {
		if (!this.ownTrials.add(request)) {
			reply.accept(false);
			return;
		}
		String key = CrashRows.trialKey(request);
		Commit commit = new Commit(CrashRows.TABLE, List.of(new Condition(key, 0)),
				List.of(new Write(key, CrashRows.writeTrial(this.process))), List.of());
		this.store.commit(commit).subscribe((outcome) -> this.control.post((_) -> {
			boolean granted = outcome instanceof Outcome.Committed;
			noteTrial(request, granted);
			reply.accept(granted);
		}), (failure) -> this.control.post((_) -> {
			noteFailure(key, "write", failure);
			noteTrial(request, false);
			reply.accept(false);
		}));
	}

	private void noteTrial(RequestDigest request, boolean granted) {
		EventLog.info(GatewayEvents.REQUEST_ON_TRIAL, "digest", request, "granted", granted);
		if (granted) {
			this.table.trial(request, true);
			review(request);
		}
		else {
			this.ownTrials.remove(request);
			returnUnused(request);
		}
	}

	/**
	 * Gives the trial of a request back that was not sent.
	 * @param request the request
	 */
	void returnTrial(RequestDigest request) {
		this.ownTrials.remove(request);
		remove(List.of(CrashRows.trialKey(request)));
	}

	// The answer to a claim can be lost and the row come seconds later: the one trial of
	// the request would be gone, with nothing sent.
	private void returnUnused(RequestDigest request) {
		boolean unused = this.trialHolders.getOrDefault(request, "").equals(this.process)
				&& !this.ownTrials.contains(request);
		if (unused) {
			returnTrial(request);
		}
	}

	// -- the other gateways

	/**
	 * What is told to the other gateways.
	 * @param now the time
	 * @return the news
	 */
	List<CrashNews> news(long now) {
		this.urgent = false;
		return this.table.news(now).stream().map(CrashRecords::message).toList();
	}

	/**
	 * Whether the others should hear of news before the next report is due.
	 * @return true until {@link #news} was asked for
	 */
	boolean isUrgent() {
		return this.urgent;
	}

	/**
	 * Takes what another gateway told.
	 * @param gateway the other gateway
	 * @param news what it told
	 * @param now the time
	 */
	void heard(String gateway, List<CrashNews> news, long now) {
		for (CrashNews one : news) {
			if (one.getRequest().size() == RequestDigest.BYTES) {
				Evidence evidence = evidence(one);
				if (this.table.heard(evidence, now)) {
					took(evidence, gateway, now);
				}
			}
		}
	}

	private static CrashNews message(Evidence evidence) {
		Start server = evidence.crash().server();
		return CrashNews.newBuilder()
			.setRequest(ByteString.copyFrom(evidence.crash().request().bytes()))
			.setServer(server.id())
			.setStartedMillis(server.startedMillis())
			.setAtMillis(evidence.atMillis())
			.setCleared(evidence.state() == State.CLEARED)
			.build();
	}

	private static Evidence evidence(CrashNews news) {
		Crash crash = new Crash(RequestDigest.of(news.getRequest().toByteArray()),
				new Start(news.getServer(), news.getStartedMillis()));
		return new Evidence(crash, news.getCleared() ? State.CLEARED : State.CONFIRMED, news.getAtMillis());
	}

	// -- the store

	TableWatch.Listener listener() {
		return new Listener();
	}

	/**
	 * Lets time pass.
	 * @param now the time
	 */
	void tick(long now) {
		if (now - this.lookedNanos >= LOOK_NANOS) {
			this.lookedNanos = now;
			this.table.expire(now);
			writeDue(now);
		}
	}

	private void writeDue(long now) {
		if (this.writing || !this.known) {
			return;
		}
		List<Evidence> due = this.table.unwritten(MOST_WRITES, now);
		if (!due.isEmpty()) {
			write(due);
		}
	}

	// New rows must not be there: a write whose answer was lost can take effect seconds
	// later, and would make a crash count again that was cleared meanwhile.
	private void write(List<Evidence> due) {
		this.writing = true;
		List<Condition> conditions = due.stream()
			.filter((evidence) -> evidence.state() == State.CONFIRMED)
			.map((evidence) -> new Condition(CrashRows.key(evidence.crash()), 0))
			.toList();
		List<Write> writes = due.stream()
			.map((evidence) -> new Write(CrashRows.key(evidence.crash()), CrashRows.write(evidence, this.process)))
			.toList();
		this.store.commit(new Commit(CrashRows.TABLE, conditions, writes, List.of()))
			.subscribe((outcome) -> this.control.post((now) -> written(due, outcome, now)),
					(failure) -> this.control.post((now) -> notWritten(due, failure, now)));
	}

	private void written(List<Evidence> due, Outcome outcome, long now) {
		this.writing = false;
		switch (outcome) {
			case Outcome.Committed _ -> due.forEach(this.table::written);
			case Outcome.Conflict _ when due.size() == 1 -> this.table.written(due.getFirst());
			// Another gateway wrote one of the rows: each for itself.
			case Outcome.Conflict _ -> due.forEach((one) -> write(List.of(one)));
		}
		writeDue(now);
	}

	private void notWritten(List<Evidence> due, Throwable failure, long now) {
		this.writing = false;
		noteFailure(CrashRows.key(due.getFirst().crash()), "write", failure);
		due.forEach((one) -> this.table.notWritten(one, now));
	}

	/**
	 * Removes rows that nothing needs any more, as the holder of the duties.
	 * @param epochMillis the time of day
	 */
	void tidy(long epochMillis) {
		List<String> old = this.rows.entrySet()
			.stream()
			.filter((entry) -> isOld(entry.getValue(), epochMillis))
			.map(Map.Entry::getKey)
			.limit(MOST_WRITES)
			.toList();
		if (!old.isEmpty()) {
			remove(old);
		}
	}

	// What the table forgot for want of room goes from the store as well.
	private boolean isOld(Crash crash, long epochMillis) {
		if (isHeld(crash.request())) {
			return false;
		}
		Optional<Evidence> evidence = this.table.evidence(crash);
		return evidence.isEmpty() || epochMillis - evidence.get().atMillis() > keptMillis(evidence.get().state());
	}

	private static long keptMillis(State state) {
		return (state == State.CLEARED) ? CLEARED_KEPT_MILLIS : KEPT_MILLIS;
	}

	private void remove(List<String> keys) {
		this.store.commit(new Commit(CrashRows.TABLE, List.of(), List.of(), keys)).subscribe((_) -> {
		}, (failure) -> noteFailure(keys.getFirst(), "delete", failure));
	}

	private void row(Row row, long now) {
		if (row.value().isEmpty()) {
			gone(row.key());
			return;
		}
		try {
			if (CrashRows.isTrial(row.key())) {
				trialGiven(CrashRows.request(row.key()), CrashRows.readTrial(row.value().get()));
				return;
			}
			Evidence evidence = CrashRows.read(row.key(), row.value().get());
			this.rows.put(row.key(), evidence.crash());
			if (this.table.stored(evidence, now)) {
				took(evidence, "store", now);
			}
		}
		catch (IllegalArgumentException | IllegalStateException ex) {
			EventLog.warn(GatewayEvents.ROW_CALL_FAILED, "row", row.key(), "call", "read", "cause", ex.getMessage());
		}
	}

	private void trialGiven(RequestDigest request, String holder) {
		this.trialHolders.put(request, holder);
		this.table.trial(request, true);
		review(request);
		returnUnused(request);
	}

	private void gone(String key) {
		Optional.ofNullable(this.rows.remove(key)).ifPresent((crash) -> {
			this.table.removed(crash);
			review(crash.request());
		});
		if (CrashRows.isTrial(key)) {
			trialGone(CrashRows.request(key));
		}
	}

	private void trialGone(RequestDigest request) {
		this.trialHolders.remove(request);
		this.table.trial(request, false);
		review(request);
	}

	private void all(List<Row> present, long now) {
		Set<String> keys = new HashSet<>();
		present.forEach((row) -> keys.add(row.key()));
		List.copyOf(this.rows.keySet()).stream().filter((key) -> !keys.contains(key)).forEach(this::gone);
		List.copyOf(this.trialHolders.keySet())
			.stream()
			.filter((request) -> !keys.contains(CrashRows.trialKey(request)))
			.forEach(this::trialGone);
		present.forEach((row) -> row(row, now));
		this.known = true;
	}

	// -- the log

	// One gateway's crash can be that of twenty requests: what others saw is told here
	// only where it may hold a request back.
	private void took(Evidence evidence, String from, long now) {
		RequestDigest request = evidence.crash().request();
		if (evidence.state() == State.CONFIRMED) {
			this.servers.crashed(evidence.crash().server(), now);
		}
		if (evidence.state() == State.CONFIRMED && judge(request).servers().size() > 1) {
			noteCrash(evidence, from);
		}
		review(request);
	}

	private void noteCrash(Evidence evidence, String from) {
		RequestDigest request = evidence.crash().request();
		Start server = evidence.crash().server();
		this.hooks.count("crashes.confirmed");
		EventLog.info(GatewayEvents.CRASHED_UNDER_REQUEST, "digest", request, "server", server.id(), "started",
				server.startedMillis(), "crashes", judge(request).servers().size(), "from", from, "ageMillis",
				System.currentTimeMillis() - evidence.atMillis());
	}

	private void noteCleared(List<Evidence> cleared, String cause) {
		for (Evidence evidence : cleared) {
			RequestDigest request = evidence.crash().request();
			this.urgent = true;
			this.hooks.count("crashes.cleared");
			EventLog.info(GatewayEvents.CRASH_CLEARED, "digest", request, "server", evidence.crash().server().id(),
					"started", evidence.crash().server().startedMillis(), "cause", cause, "crashes",
					judge(request).servers().size());
			review(request);
		}
	}

	private static void noteFailure(String key, String call, Throwable failure) {
		EventLog.info(GatewayEvents.ROW_CALL_FAILED, "row", key, "call", call, "cause", failure.getMessage());
	}

	// Tells when a request is held back, or no longer is.
	private void review(RequestDigest request) {
		Judgement judgement = judge(request);
		boolean held = judgement instanceof Judgement.Held;
		if (held && this.toldHeld.add(request)) {
			EventLog.warn(GatewayEvents.REQUEST_HELD_BACK, "digest", request, "servers",
					judgement.servers().stream().map(Start::id).toList());
			this.hooks.held(request);
		}
		else if (!held && this.toldHeld.remove(request)) {
			EventLog.info(GatewayEvents.REQUEST_RELEASED, "digest", request, "crashes", judgement.servers().size());
		}
	}

	/** What this needs of the rest of the process. */
	interface Hooks {

		/**
		 * Asks whether a server lives, by a new connection.
		 * @param server the server
		 * @param reply gets whether the server took it, on any thread
		 */
		void ask(BackendServer server, Consumer<Boolean> reply);

		/**
		 * A request is held back from now on.
		 * @param request the request
		 */
		void held(RequestDigest request);

		/**
		 * Counts something.
		 * @param name the name of the metric
		 */
		void count(String name);

	}

	/** Takes news of the table. */
	private final class Listener implements TableWatch.Listener {

		@Override
		public void all(List<Row> rows, long version) {
			CrashRecords.this.control.post((now) -> CrashRecords.this.all(rows, now));
		}

		@Override
		public void changed(List<Row> rows, long version) {
			CrashRecords.this.control.post((now) -> rows.forEach((row) -> row(row, now)));
		}

	}

}
