package org.rosemaryfront.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
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
import org.rosemaryfront.gateway.AdminServer.HeldCrash;
import org.rosemaryfront.gateway.AdminServer.HeldRequest;
import org.rosemaryfront.gateway.proto.CrashNews;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.program.ControlLoop;

/**
 * Finds out whether servers crash under requests, tells the others at once, and says in
 * the log what is believed of a request and why. Used on the control thread.
 */
final class CrashRecords {

	private final BackendTable servers;

	private final CrashTable table = new CrashTable();

	private final ControlLoop control;

	private final Hooks hooks;

	private final CrashTrials trials;

	private final CrashStore store;

	/** Servers that are asked whether they live. */
	private final Set<Start> asked = new HashSet<>();

	/** Requests of which the log says that they are held back. */
	private final Set<RequestDigest> toldHeld = new HashSet<>();

	/** Whether the others should hear of news soon. */
	private boolean urgent;

	CrashRecords(RowStore rows, BackendTable servers, ControlLoop control, String process, Hooks hooks) {
		this.servers = servers;
		this.control = control;
		this.hooks = hooks;
		this.trials = new CrashTrials(rows, this.table, control, process, this::review);
		this.store = new CrashStore(rows, this.table, this.trials, control, process,
				new CrashStore.News((evidence, now) -> took(evidence, "store", now), this::review));
	}

	// -- queries

	/**
	 * Whether the table was read once. A process that starts must know it before it sends
	 * anything: what was learned before a kill of all is nowhere else.
	 * @return true from then on; may be asked on any thread
	 */
	boolean isKnown() {
		return this.store.isKnown();
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

	/**
	 * What is known, for an operator.
	 * @return the requests, the oldest first
	 */
	List<HeldRequest> list() {
		return this.table.all()
			.entrySet()
			.stream()
			.map((entry) -> new HeldRequest(entry.getKey().toString(), isHeld(entry.getKey()),
					entry.getValue().stream().map(CrashRecords::heldCrash).toList()))
			.toList();
	}

	private static HeldCrash heldCrash(Evidence evidence) {
		Start server = evidence.crash().server();
		return new HeldCrash(server.id(), server.startedMillis(), evidence.atMillis(),
				evidence.state().name().toLowerCase(Locale.ROOT));
	}

	int heldCount() {
		return this.table.heldCount();
	}

	CrashTrials trials() {
		return this.trials;
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
		// A gateway that heard of the end of a trial before it heard of its success has
		// tried the request once more: there is nothing left to clear then.
		if (this.trials.isGiven(request)) {
			this.trials.giveBack(request);
		}
		return !cleared.isEmpty();
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
		return this.store.listener();
	}

	/**
	 * Lets time pass.
	 * @param now the time
	 */
	void tick(long now) {
		this.store.tick(now);
	}

	/**
	 * Removes rows that nothing needs any more, as the holder of the duties.
	 * @param epochMillis the time of day
	 */
	void tidy(long epochMillis) {
		this.store.tidy(epochMillis);
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
			// Of a connection that only broke the others know nothing.
			this.urgent |= this.table.evidence(evidence.crash()).isPresent();
			this.hooks.count("crashes.cleared");
			EventLog.info(GatewayEvents.CRASH_CLEARED, "digest", request, "server", evidence.crash().server().id(),
					"started", evidence.crash().server().startedMillis(), "cause", cause, "crashes",
					judge(request).servers().size());
			review(request);
		}
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

}
