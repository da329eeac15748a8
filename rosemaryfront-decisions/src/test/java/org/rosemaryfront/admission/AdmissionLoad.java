package org.rosemaryfront.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.rosemaryfront.admission.AdmissionDecision.Admitted;
import org.rosemaryfront.admission.AdmissionDecision.Refused;

/**
 * Gateways that admit the calls of organisations to servers, in virtual time. Each server
 * reads one prompt after the other.
 */
final class AdmissionLoad {

	static final int ORGANISATIONS = 10;

	/** The organisation whose callers ask for several times their usual in the burst. */
	static final int GREEDY = 0;

	static final int BURST_START = 3_000;

	static final int BURST_END = 9_000;

	static final int END = 14_000;

	private static final String SERVICE = "answers";

	private static final int SERVERS = 63;

	private static final int SLOTS = 32;

	private static final double TOKENS_PER_MILLI = 31;

	private static final int RESPONSE_MILLIS = 1_000;

	private static final int EXCHANGE_MILLIS = 320;

	/** After that, a gateway that is not heard counts as gone, in milliseconds. */
	private static final int GONE_MILLIS = 3_000;

	/** The usual load, as a part of the room. */
	private static final double USUAL = 0.8;

	/** The part of the usual load that the greedy organisation asks for. */
	private static final double GREEDY_PART = 0.375;

	private static final double GREEDY_FACTOR = 5;

	/** Kinds of calls whose largest prompts are read well within their targets. */
	static final List<Kind> SHORT_PROMPTS = List.of(new Kind(0.4, 700, 1_500, 800, 10_000),
			new Kind(0.4, 1_500, 4_000, 1_500, 15_000), new Kind(0.2, 3_000, 9_000, 3_000, 20_000));

	/** The last kind has prompts that take longer to read than its target. */
	static final List<Kind> LONG_PROMPTS = List.of(new Kind(0.6, 700, 1_500, 800, 10_000),
			new Kind(0.35, 1_500, 4_000, 1_500, 15_000), new Kind(0.05, 3_000, 50_000, 1_000, 15_000));

	private final List<Kind> kinds;

	private final double meanTokens;

	private final Random random;

	private final Rule rule;

	private final Faults faults;

	private final Gateway[] gateways;

	private final Server[] servers = new Server[SERVERS];

	private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> Long.compare(one.at, other.at));

	private final List<Request> requests = new ArrayList<>();

	private boolean bursting = true;

	private int now;

	private AdmissionLoad(List<Kind> kinds, int count, long seed, Rule rule, Faults faults) {
		this.kinds = kinds;
		this.meanTokens = kinds.stream().mapToDouble((kind) -> kind.part * (kind.minTokens + kind.maxTokens) / 2).sum();
		this.random = new Random(seed);
		this.rule = rule;
		this.faults = faults;
		this.gateways = new Gateway[count];
		for (int i = 0; i < count; i++) {
			this.gateways[i] = new Gateway(i, count);
		}
		for (int i = 0; i < SERVERS; i++) {
			this.servers[i] = new Server();
		}
	}

	static AdmissionLoad run(int count, long seed, Rule rule, Faults faults, boolean bursting) {
		return run(SHORT_PROMPTS, count, seed, rule, faults, bursting);
	}

	static AdmissionLoad run(List<Kind> kinds, int count, long seed, Rule rule, Faults faults, boolean bursting) {
		AdmissionLoad load = new AdmissionLoad(kinds, count, seed, rule, faults);
		load.bursting = bursting;
		for (load.now = 0; load.now < END; load.now++) {
			load.step();
		}
		return load;
	}

	private void step() {
		while (!this.events.isEmpty() && this.events.peek().at <= this.now) {
			this.events.remove().action.run();
		}
		for (Gateway gateway : this.gateways) {
			if ((this.now + gateway.phase) % EXCHANGE_MILLIS == 0 && !this.faults.isDown(gateway.index, this.now)) {
				tell(gateway);
			}
		}
		double greedy = isBurst(this.now) ? GREEDY_FACTOR : 1;
		double usualPerMilli = USUAL * SERVERS * TOKENS_PER_MILLI / this.meanTokens;
		arrive(usualPerMilli * GREEDY_PART * greedy, true);
		arrive(usualPerMilli * (1 - GREEDY_PART), false);
		for (Server server : this.servers) {
			server.step();
		}
	}

	private boolean isBurst(int millis) {
		return this.bursting && millis >= BURST_START && millis < BURST_END;
	}

	private void arrive(double perMilli, boolean greedy) {
		for (double left = perMilli; left > 0; left--) {
			if (this.random.nextDouble() < left) {
				int organisation = greedy ? GREEDY : 1 + this.random.nextInt(ORGANISATIONS - 1);
				Request request = new Request(organisation, kind(), gateway(), this.now);
				this.requests.add(request);
				ask(request);
			}
		}
	}

	private int kind() {
		double draw = this.random.nextDouble();
		int kind = 0;
		for (double sum = this.kinds.get(0).part; draw >= sum && kind < this.kinds.size() - 1;) {
			kind++;
			sum += this.kinds.get(kind).part;
		}
		return kind;
	}

	// Callers are unequal: the first gateways have several times as many as the last.
	private int gateway() {
		int index = (int) (this.gateways.length * Math.pow(this.random.nextDouble(), 1.5));
		return this.faults.isDown(index, this.now) ? (index + 1) % this.gateways.length : index;
	}

	private void ask(Request request) {
		Gateway gateway = this.gateways[request.gateway];
		Kind kind = this.kinds.get(request.kind);
		long age = this.now - request.at;
		gateway.asked(request.organisation, request.tokens);
		int best = gateway.best();
		double first = (best < 0) ? 0 : (gateway.backlog(best) + request.tokens) / TOKENS_PER_MILLI;
		CallDemand demand = new CallDemand(SERVICE, name(request.organisation), request.kind, request.tokens,
				Math.max(0, kind.targetMillis - age), kind.timeoutMillis - age, kind.targetMillis);
		AdmissionDecision decision = (best < 0) ? new Refused(0, 250, 0, AdmissionDecision.Reason.LATE)
				: this.rule.decide(gateway.admission, demand,
						new ExpectedTime(gateway.meanWaitMillis(), first, request.tokens / TOKENS_PER_MILLI),
						this.random);
		switch (decision) {
			case Admitted _ -> {
				gateway.own[best] += request.tokens;
				gateway.ownCalls[best]++;
				this.servers[best].queue.add(request);
				this.servers[best].calls++;
				request.server = best;
			}
			case Refused refused -> {
				request.refusals++;
				if (refused.retryAfterMillis() <= (kind.timeoutMillis - age) / 3 && age < kind.targetMillis) {
					this.events.add(new Event(this.now + refused.retryAfterMillis(), () -> ask(request)));
				}
			}
		}
	}

	private void tell(Gateway gateway) {
		Told told = new Told(gateway.own.clone(), gateway.ownCalls.clone(), gateway.askedWithinSecond());
		gateway.hear(gateway.index, told);
		int delay = 5 + this.random.nextInt(20) + ((this.random.nextDouble() < this.faults.late) ? 300 : 0);
		this.events.add(new Event(this.now + delay, () -> {
			for (Gateway other : this.gateways) {
				if (other != gateway && !this.faults.isCut(gateway.index, other.index, this.now)
						&& this.random.nextDouble() >= this.faults.lost) {
					other.hear(gateway.index, told);
				}
			}
		}));
		gateway.updateDemands();
	}

	private static String name(int organisation) {
		return "organisation-" + organisation;
	}

	// -- results

	/**
	 * Returns how many of the calls that began in the burst got their first token in
	 * time.
	 * @param which the calls that count
	 * @return the part, from 0 to 1
	 */
	double inTime(Predicate<Request> which) {
		return inTime(which, BURST_START, BURST_END);
	}

	double inTime(Predicate<Request> which, int from, int until) {
		return part(which.and((request) -> request.at >= from && request.at < until), Request::inTime);
	}

	double served(Predicate<Request> which) {
		return part(which.and((request) -> request.at >= BURST_START && request.at < BURST_END),
				(request) -> request.server >= 0);
	}

	double refused(Predicate<Request> which) {
		return part(which, (request) -> request.refusals > 0);
	}

	private double part(Predicate<Request> which, Predicate<Request> counted) {
		List<Request> chosen = this.requests.stream().filter(which).toList();
		return chosen.stream().filter(counted).count() / (double) Math.max(1, chosen.size());
	}

	/**
	 * Returns the tokens that the servers read in the burst, as a part of what they could
	 * have read.
	 * @return the part, from 0 to 1
	 */
	double work() {
		double read = 0;
		for (Server server : this.servers) {
			read += server.readInBurst;
		}
		return read / (SERVERS * TOKENS_PER_MILLI * (BURST_END - BURST_START));
	}

	/** Decides on a call. */
	interface Rule {

		AdmissionDecision decide(Admission admission, CallDemand call, ExpectedTime expected, Random random);

	}

	/**
	 * What goes wrong.
	 *
	 * @param lost the part of messages that is lost
	 * @param late the part of messages that is late
	 * @param down the number of gateways that stop halfway through the burst
	 * @param cut the number of gateways that hear and tell nothing from then on
	 * @param deaf the number of gateways that tell, but hear nothing from then on
	 */
	record Faults(double lost, double late, int down, int cut, int deaf) {

		static final Faults NONE = new Faults(0, 0, 0, 0, 0);

		private static final int AT = (BURST_START + BURST_END) / 2;

		boolean isDown(int gateway, int now) {
			return now >= AT && gateway >= 1 && gateway <= this.down;
		}

		boolean isCut(int from, int to, int now) {
			int firstCut = 1 + this.down;
			boolean fromCut = from >= firstCut && from < firstCut + this.cut;
			boolean toCut = to >= firstCut && to < firstCut + this.cut + this.deaf;
			return now >= AT && (fromCut || toCut);
		}

	}

	record Kind(double part, int minTokens, int maxTokens, int targetMillis, int timeoutMillis) {
	}

	private record Event(long at, Runnable action) {
	}

	private record Told(double[] tokens, int[] calls, double[] asked) {

		static final Told NOTHING = new Told(new double[SERVERS], new int[SERVERS], new double[ORGANISATIONS]);

	}

	/** A call with what became of it. */
	final class Request {

		final int organisation;

		final int kind;

		final int gateway;

		final int at;

		final int tokens;

		int refusals;

		private int server = -1;

		private int firstTokenAt = Integer.MAX_VALUE;

		Request(int organisation, int kind, int gateway, int at) {
			this.organisation = organisation;
			this.kind = kind;
			this.gateway = gateway;
			this.at = at;
			Kind known = AdmissionLoad.this.kinds.get(kind);
			this.tokens = known.minTokens + AdmissionLoad.this.random.nextInt(known.maxTokens - known.minTokens);
		}

		boolean inTime() {
			return this.firstTokenAt <= this.at + AdmissionLoad.this.kinds.get(this.kind).targetMillis;
		}

		boolean isLarge() {
			Kind known = AdmissionLoad.this.kinds.get(this.kind);
			return this.tokens >= known.maxTokens - (known.maxTokens - known.minTokens) / 10;
		}

	}

	private final class Server {

		private final Deque<Request> queue = new ArrayDeque<>();

		private int calls;

		private double readOfFirst;

		private double readInBurst;

		void step() {
			double left = TOKENS_PER_MILLI;
			while (left > 0 && !this.queue.isEmpty()) {
				Request first = this.queue.peek();
				double read = Math.min(left, first.tokens - this.readOfFirst);
				left -= read;
				this.readOfFirst += read;
				if (this.readOfFirst >= first.tokens) {
					this.queue.remove();
					this.readOfFirst = 0;
					finish(first);
				}
			}
			int at = AdmissionLoad.this.now;
			this.readInBurst += (at >= BURST_START && at < BURST_END) ? TOKENS_PER_MILLI - left : 0;
		}

		private void finish(Request request) {
			request.firstTokenAt = AdmissionLoad.this.now;
			Gateway gateway = AdmissionLoad.this.gateways[request.gateway];
			gateway.own[request.server] -= request.tokens;
			AdmissionLoad.this.events.add(new Event(AdmissionLoad.this.now + RESPONSE_MILLIS, () -> {
				this.calls--;
				gateway.ownCalls[request.server]--;
			}));
		}

	}

	/** A gateway with what it knows of the others. */
	private final class Gateway {

		private final int index;

		private final int phase;

		private final Admission admission = Admission.of(AdmissionLoad.this.random::nextDouble);

		private final double[] own = new double[SERVERS];

		private final int[] ownCalls = new int[SERVERS];

		private final double[] others = new double[SERVERS];

		private final int[] otherCalls = new int[SERVERS];

		private final double[] asked = new double[ORGANISATIONS];

		private final Told[] heard;

		private final int[] heardAt;

		private final Deque<double[]> ownAsked = new ArrayDeque<>();

		private Gateway(int index, int count) {
			this.index = index;
			this.phase = AdmissionLoad.this.random.nextInt(EXCHANGE_MILLIS);
			this.heard = new Told[count];
			this.heardAt = new int[count];
			this.admission
				.urgentTargets(Map.of(SERVICE, new UrgentTarget(0, AdmissionLoad.this.kinds.get(0).targetMillis)));
		}

		private void asked(int organisation, double tokens) {
			this.ownAsked.add(new double[] { AdmissionLoad.this.now, organisation, tokens });
		}

		private double[] askedWithinSecond() {
			this.ownAsked.removeIf((entry) -> entry[0] <= AdmissionLoad.this.now - 1_000);
			double[] sums = new double[ORGANISATIONS];
			this.ownAsked.forEach((entry) -> sums[(int) entry[1]] += entry[2]);
			return sums;
		}

		private void hear(int from, Told told) {
			Told before = this.heard[from];
			this.heard[from] = told;
			this.heardAt[from] = AdmissionLoad.this.now;
			boolean itself = from == this.index;
			for (int i = 0; i < SERVERS && !itself; i++) {
				this.others[i] += told.tokens[i] - ((before != null) ? before.tokens[i] : 0);
				this.otherCalls[i] += told.calls[i] - ((before != null) ? before.calls[i] : 0);
			}
			for (int i = 0; i < ORGANISATIONS; i++) {
				this.asked[i] += told.asked[i] - ((before != null) ? before.asked[i] : 0);
			}
		}

		private void forgetGone() {
			for (int i = 0; i < this.heard.length; i++) {
				if (this.heard[i] != null && AdmissionLoad.this.now - this.heardAt[i] > GONE_MILLIS) {
					hear(i, Told.NOTHING);
					this.heard[i] = null;
				}
			}
		}

		private void updateDemands() {
			forgetGone();
			Map<String, OrganisationDemand> demands = new HashMap<>();
			for (int i = 0; i < ORGANISATIONS; i++) {
				demands.put(name(i), new OrganisationDemand(Math.max(0, this.asked[i]), 1));
			}
			this.admission.demands(demands, TimeUnit.MILLISECONDS.toNanos(AdmissionLoad.this.now));
		}

		private double backlog(int server) {
			return this.own[server] + this.others[server];
		}

		private double meanWaitMillis() {
			double tokens = 0;
			for (int i = 0; i < SERVERS; i++) {
				tokens += backlog(i);
			}
			return tokens / SERVERS / TOKENS_PER_MILLI;
		}

		// Two random servers of all: with the best of all, gateways that know the same
		// sums would all choose the same servers.
		private int best() {
			int one = AdmissionLoad.this.random.nextInt(SERVERS);
			int other = AdmissionLoad.this.random.nextInt(SERVERS);
			if (!hasRoom(one) || !hasRoom(other)) {
				return hasRoom(one) ? one : hasRoom(other) ? other : -1;
			}
			return (backlog(one) <= backlog(other)) ? one : other;
		}

		private boolean hasRoom(int server) {
			return this.ownCalls[server] + this.otherCalls[server] < SLOTS;
		}

	}

}
