package org.rosemaryfront.crashes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.crashes.Suspect.Entry;
import org.rosemaryfront.dispatch.BackendServer.Start;

/**
 * The requests under which backend servers crash.
 *
 * <p>
 * A request can crash every server that begins to run it. Its caller sends it again,
 * under a new id, through any process; taken for a first one each time, one request took
 * down twenty servers within ten seconds, each with up to twenty calls of others. A
 * request under which three servers crashed is held back, at all processes and over their
 * restarts.
 *
 * <p>
 * Most requests that a crashing server had are innocent. Against them speaks only a crash
 * that was confirmed, of a server that was not about to leave. It is cleared when the
 * server answers again, or when the request is answered whole. Where the servers crashed
 * at one moment, as when an availability zone loses power under a request that many ask
 * for, one copy is sent on trial.
 *
 * <p>
 * Used on one thread, but for {@link #isHeld}. Times are on the monotonic clock, in
 * nanoseconds, unless they say otherwise.
 */
public final class CrashTable {

	/**
	 * Servers that may crash under a request before it is held back. One or two happen to
	 * innocent requests, which are sent again and land beside the guilty one once more.
	 */
	public static final int HELD_AFTER = 3;

	/**
	 * Crashes that lie no further apart than this are one moment, in milliseconds: an
	 * availability zone's servers go at once, and each copy of a guilty request waits for
	 * its turn for a time of its own.
	 */
	private static final long MOMENT_MILLIS = 250;

	/** The pause behind a write that failed. */
	private static final long WRITE_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	/** News told at once; a report stays well below the size of a datagram. */
	private static final int MOST_NEWS = 16;

	/**
	 * Requests that are remembered at most, about 300 bytes each. Those with the fewest
	 * crashes are forgotten first.
	 */
	private static final int MOST_REQUESTS = 4_096;

	/**
	 * Rows of requests with a single crash that this process lets into the store at most;
	 * requests with more are always written.
	 */
	private static final int MOST_SINGLE_ROWS = 1_024;

	private final Map<RequestDigest, Suspect> suspects = new LinkedHashMap<>();

	/** The requests that a server had when it crashed, or may have crashed. */
	private final Map<Start, List<RequestDigest>> byServer = new HashMap<>();

	/**
	 * What may still be written or forgotten. It is looked at many times a second, and
	 * nearly all that is known is settled.
	 */
	private final Set<Entry> unsettled = new LinkedHashSet<>();

	/** Requests to be held back; read on any thread. */
	private final Set<RequestDigest> held = ConcurrentHashMap.newKeySet();

	// -- what calls show

	/**
	 * A connection broke off while its server had a request.
	 * @param crash the server and the request
	 * @param atMillis the time of day, in milliseconds since 1970
	 * @param nowNanos the time
	 * @return whether it must be found out if the server crashed
	 */
	public boolean suspected(Crash crash, long atMillis, long nowNanos) {
		if (find(crash).isPresent()) {
			return false;
		}
		add(new Evidence(crash, State.SUSPECTED, atMillis), nowNanos);
		return true;
	}

	/**
	 * A server has crashed.
	 * @param server the start of the server
	 * @param nowNanos the time
	 * @return what that confirms
	 */
	public List<Evidence> crashed(Start server, long nowNanos) {
		return change(entriesOf(server), State.CONFIRMED, nowNanos);
	}

	/**
	 * A server answered a call that was sent after its connections broke, so that it has
	 * not crashed.
	 * @param server the start of the server
	 * @param sentNanos when the call was sent
	 * @param nowNanos the time
	 * @return what that clears
	 */
	public List<Evidence> answers(Start server, long sentNanos, long nowNanos) {
		if (!this.byServer.containsKey(server)) {
			return List.of();
		}
		List<Entry> before = entriesOf(server).stream().filter((entry) -> sentNanos - entry.sinceNanos > 0).toList();
		return change(before, State.CLEARED, nowNanos);
	}

	/**
	 * A request was answered whole, or is released by an operator.
	 * @param request the request
	 * @param nowNanos the time
	 * @return what that clears
	 */
	public List<Evidence> cleared(RequestDigest request, long nowNanos) {
		Suspect suspect = this.suspects.get(request);
		return (suspect != null) ? change(suspect.entries.values(), State.CLEARED, nowNanos) : List.of();
	}

	// -- what others tell

	/**
	 * Takes what another process told.
	 * @param told the evidence
	 * @param nowNanos the time
	 * @return whether it is news
	 */
	public boolean heard(Evidence told, long nowNanos) {
		return take(told, nowNanos).isPresent();
	}

	/**
	 * Takes a row of the store.
	 * @param row the evidence in it
	 * @param nowNanos the time
	 * @return whether it is news
	 */
	public boolean stored(Evidence row, long nowNanos) {
		boolean news = take(row, nowNanos).isPresent();
		find(row.crash()).ifPresent((entry) -> {
			entry.hasRow = true;
			// A row in an earlier state may come from a write that was late.
			entry.stored = entry.evidence.state() == row.state();
			this.unsettled.add(entry);
		});
		return news;
	}

	/**
	 * A row is no longer in the store.
	 * @param crash what it was about
	 */
	public void removed(Crash crash) {
		find(crash).filter((entry) -> entry.hasRow).ifPresent((_) -> remove(crash));
	}

	/**
	 * Takes whether the one trial of a request was given away.
	 * @param request the request
	 * @param given whether some process has it, or had it
	 */
	public void trial(RequestDigest request, boolean given) {
		if (given) {
			this.suspects.computeIfAbsent(request, (_) -> new Suspect()).trialGiven = true;
		}
		else {
			Optional.ofNullable(this.suspects.get(request)).ifPresent((suspect) -> suspect.trialGiven = false);
		}
	}

	// Evidence only moves forward, so that news may come in any order and more than once.
	private Optional<Entry> take(Evidence told, long nowNanos) {
		Optional<Entry> known = find(told.crash());
		if (known.isEmpty()) {
			Entry entry = add(told, nowNanos);
			entry.heard(told, nowNanos);
			return Optional.of(entry);
		}
		if (known.get().evidence.state().compareTo(told.state()) >= 0) {
			return Optional.empty();
		}
		known.get().heard(told, nowNanos);
		this.unsettled.add(known.get());
		review(told.crash().request());
		return known;
	}

	// -- what is to be told

	/**
	 * What the store lacks, that which weighs most first.
	 * @param most the most rows that are wanted
	 * @param nowNanos the time
	 * @return the rows, to be confirmed by {@link #written} or {@link #notWritten}
	 */
	public List<Evidence> unwritten(int most, long nowNanos) {
		List<Entry> due = this.unsettled.stream().filter((entry) -> entry.isDue(isSingle(entry), nowNanos)).toList();
		if (due.isEmpty()) {
			return List.of();
		}
		boolean isFull = this.suspects.values().stream().filter(Suspect::isSingleRow).count() >= MOST_SINGLE_ROWS;
		return due.stream()
			.filter((entry) -> !isFull || !isSingle(entry))
			.sorted(Comparator.comparingInt((Entry entry) -> -suspect(entry).entries.size()))
			.limit(most)
			.map((entry) -> entry.evidence)
			.toList();
	}

	private boolean isSingle(Entry entry) {
		return suspect(entry).entries.size() == 1;
	}

	private Suspect suspect(Entry entry) {
		return this.suspects.get(entry.request());
	}

	/**
	 * The store has a row in this state or a later one.
	 * @param row the row
	 */
	public void written(Evidence row) {
		find(row.crash()).ifPresent((entry) -> {
			entry.hasRow = true;
			entry.stored |= entry.evidence.state() == row.state();
		});
	}

	/**
	 * It is not known whether the store has a row.
	 * @param row the row
	 * @param nowNanos the time
	 */
	public void notWritten(Evidence row, long nowNanos) {
		find(row.crash()).ifPresent((entry) -> entry.writeFrom(nowNanos + WRITE_AGAIN_NANOS));
	}

	/**
	 * What this process saw of late, for the others, that which weighs most first.
	 * @param nowNanos the time
	 * @return the news
	 */
	public List<Evidence> news(long nowNanos) {
		return this.suspects.values()
			.stream()
			.sorted(Comparator.comparingInt((Suspect suspect) -> -suspect.entries.size()))
			.flatMap((suspect) -> suspect.entries.values().stream())
			.filter((entry) -> entry.isNews(nowNanos))
			.limit(MOST_NEWS)
			.map((entry) -> entry.evidence)
			.toList();
	}

	// -- time

	/**
	 * Forgets connections that broke without any sign of a crash, and what was cleared
	 * before the store had it.
	 * @param nowNanos the time
	 * @return the requests of which something was forgotten
	 */
	public List<RequestDigest> expire(long nowNanos) {
		this.unsettled.removeIf(Entry::isSettled);
		List<Crash> over = this.unsettled.stream()
			.filter((entry) -> entry.isOver(nowNanos))
			.map((entry) -> entry.evidence.crash())
			.toList();
		over.forEach(this::remove);
		return over.stream().map(Crash::request).toList();
	}

	// -- queries

	/**
	 * Whether a request is held back, or needs a trial; for a last look before it is
	 * sent, on any thread.
	 * @param request the request
	 * @return true when it must not be sent but for a trial
	 */
	public boolean isHeld(RequestDigest request) {
		return !this.held.isEmpty() && this.held.contains(request);
	}

	/**
	 * What may be done with a request.
	 * @param request the request
	 * @return the judgement
	 */
	public Judgement judge(RequestDigest request) {
		Suspect suspect = this.suspects.get(request);
		if (suspect == null) {
			return Judgement.Free.UNSUSPECTED;
		}
		List<Evidence> against = suspect.against();
		List<Start> servers = against.stream().map((one) -> one.crash().server()).toList();
		if (against.size() < HELD_AFTER) {
			return new Judgement.Free(servers);
		}
		boolean mayBeTried = !suspect.trialGiven && isOneMoment(against);
		return mayBeTried ? new Judgement.OnTrial(servers) : new Judgement.Held(servers);
	}

	/**
	 * What is known of a crash.
	 * @param crash the crash
	 * @return the evidence, empty when there is none
	 */
	public Optional<Evidence> evidence(Crash crash) {
		return find(crash).map((entry) -> entry.evidence);
	}

	/**
	 * All that is known.
	 * @return the evidence by request, the oldest request first
	 */
	public Map<RequestDigest, List<Evidence>> all() {
		Map<RequestDigest, List<Evidence>> all = new LinkedHashMap<>();
		this.suspects.forEach((request, suspect) -> all.put(request,
				suspect.entries.values().stream().map((entry) -> entry.evidence).toList()));
		return all;
	}

	/**
	 * The requests that are remembered.
	 * @return the count
	 */
	public int size() {
		return this.suspects.size();
	}

	/**
	 * The requests that are held back; may be asked on any thread.
	 * @return the count
	 */
	public int heldCount() {
		return this.held.size();
	}

	private static boolean isOneMoment(List<Evidence> inOrder) {
		return inOrder.getLast().atMillis() - inOrder.getFirst().atMillis() <= MOMENT_MILLIS;
	}

	// -- entries

	private Optional<Entry> find(Crash crash) {
		return Optional.ofNullable(this.suspects.get(crash.request()))
			.map((suspect) -> suspect.entries.get(crash.server()));
	}

	private List<Entry> entriesOf(Start server) {
		return this.byServer.getOrDefault(server, List.of())
			.stream()
			.map((request) -> find(new Crash(request, server)))
			.flatMap(Optional::stream)
			.toList();
	}

	private Entry add(Evidence evidence, long nowNanos) {
		makeRoom();
		Entry entry = new Entry(evidence, nowNanos);
		Crash crash = evidence.crash();
		this.suspects.computeIfAbsent(crash.request(), (_) -> new Suspect()).entries.put(crash.server(), entry);
		this.byServer.computeIfAbsent(crash.server(), (_) -> new ArrayList<>()).add(crash.request());
		this.unsettled.add(entry);
		review(crash.request());
		return entry;
	}

	private List<Evidence> change(Collection<Entry> entries, State state, long nowNanos) {
		List<Evidence> changed = new ArrayList<>();
		for (Entry entry : List.copyOf(entries)) {
			if (entry.evidence.state().compareTo(state) >= 0) {
				continue;
			}
			boolean unknownElsewhere = entry.evidence.state() == State.SUSPECTED && state == State.CLEARED;
			entry.change(state, nowNanos);
			this.unsettled.add(entry);
			changed.add(entry.evidence);
			if (unknownElsewhere) {
				remove(entry.evidence.crash());
			}
			review(entry.request());
		}
		return changed;
	}

	private void remove(Crash crash) {
		Suspect suspect = this.suspects.get(crash.request());
		forgetEntry(suspect.entries.remove(crash.server()));
		if (suspect.entries.isEmpty() && !suspect.trialGiven) {
			this.suspects.remove(crash.request());
		}
		review(crash.request());
	}

	private void review(RequestDigest request) {
		switch (judge(request)) {
			case Judgement.Free _ -> this.held.remove(request);
			case Judgement.OnTrial _, Judgement.Held _ -> this.held.add(request);
		}
	}

	private void makeRoom() {
		if (this.suspects.size() < MOST_REQUESTS) {
			return;
		}
		forgetFirst((suspect) -> suspect.against().isEmpty());
		for (int crashes = 1; this.suspects.size() >= MOST_REQUESTS; crashes++) {
			int most = crashes;
			forgetFirst((suspect) -> suspect.entries.size() <= most);
		}
	}

	private void forgetFirst(Predicate<Suspect> which) {
		for (Iterator<Suspect> it = this.suspects.values().iterator(); it.hasNext();) {
			Suspect suspect = it.next();
			if (which.test(suspect)) {
				it.remove();
				suspect.entries.values().forEach((entry) -> {
					forgetEntry(entry);
					this.held.remove(entry.request());
				});
				return;
			}
		}
	}

	private void forgetEntry(Entry entry) {
		this.unsettled.remove(entry);
		Crash crash = entry.evidence.crash();
		List<RequestDigest> requests = this.byServer.get(crash.server());
		requests.remove(crash.request());
		if (requests.isEmpty()) {
			this.byServer.remove(crash.server());
		}
	}

}
