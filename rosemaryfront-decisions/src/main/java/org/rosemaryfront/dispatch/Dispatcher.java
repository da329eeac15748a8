package org.rosemaryfront.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import com.dynatrace.hash4j.hashing.Hashing;

import org.rosemaryfront.dispatch.FirstTokenModel.Work;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;

/**
 * Chooses the backend server of a call.
 *
 * <p>
 * Calls to models wait for the prompts that a server reads before theirs, so that the
 * server is chosen at which the first token of the call is expected first. It need not
 * read the shared parts that it has, and fetches those that another server has where that
 * takes less time than to read them. Processes tell one another which server read what;
 * with equal times, calls that share parts have a common order of servers.
 *
 * <p>
 * Other calls go to the least loaded server, their own zone first.
 */
public final class Dispatcher {

	/**
	 * How long a process that started knows too little of what servers have read: in that
	 * time it places, or hears of, most of the parts in use.
	 */
	private static final long IGNORANT_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * How far over the target the expected first token may be, as a factor, for the most
	 * urgent calls: beyond that a call would be late and make those behind it late too.
	 * Less urgent calls give way earlier, so that a server that is short of capacity
	 * never turns away an urgent call for one that is not.
	 */
	private static final double LATE_FACTOR = 1.8;

	private static final double LATE_FACTOR_STEP = 0.4;

	private static final double LATE_FACTOR_LEAST = 0.8;

	private final BackendTable table;

	private final String zone;

	private final Map<String, FirstTokenModel> models = new HashMap<>();

	/** When the first prompt was placed. */
	private OptionalLong firstPromptNanos = OptionalLong.empty();

	/**
	 * A dispatcher.
	 * @param table the servers
	 * @param zone the availability zone of this process
	 */
	public Dispatcher(BackendTable table, String zone) {
		this.table = table;
		this.zone = zone;
	}

	/**
	 * Chooses a server.
	 * @param wish what the call needs
	 * @param tried servers that had the call before
	 * @param nowNanos the time
	 * @return the choice
	 */
	public Choice choose(Wish wish, Collection<String> tried, long nowNanos) {
		return choose(wish, tried, (_) -> true, nowNanos);
	}

	/**
	 * Chooses one of the servers that a call may go to.
	 * @param wish what the call needs
	 * @param tried servers that had the call before
	 * @param allowed whether the call may go to a server
	 * @param nowNanos the time
	 * @return the choice
	 */
	public Choice choose(Wish wish, Collection<String> tried, Predicate<BackendServer> allowed, long nowNanos) {
		List<BackendRow> takers = this.table.takers(wish.service(), tried)
			.stream()
			.filter((row) -> allowed.test(row.server))
			.toList();
		if (takers.isEmpty()) {
			return new Choice.NoServer();
		}
		List<BackendRow> sound = takers.stream().filter((row) -> !row.avoided(nowNanos)).toList();
		List<BackendRow> candidates = sound.isEmpty() ? takers : sound;
		List<BackendRow> free = candidates.stream().filter((row) -> row.load() < row.server.slots()).toList();
		if (free.isEmpty()) {
			return new Choice.Full(candidates.size(), 0);
		}
		return (wish.ownTokens() == 0) ? leastLoaded(free) : soonest(wish, free, nowNanos);
	}

	private Choice leastLoaded(List<BackendRow> free) {
		BackendRow chosen = free.stream()
			.min(Comparator.comparingInt(BackendRow::load)
				.thenComparing((row) -> !row.server.zone().equals(this.zone))
				.thenComparingLong((row) -> row.lastSent)
				.thenComparing((row) -> row.server.id()))
			.orElseThrow();
		return new Choice.Chosen(chosen.server, chosen.load(), 0, 0, free.size(), Optional.empty(), Optional.empty());
	}

	private Choice soonest(Wish wish, List<BackendRow> free, long nowNanos) {
		if (this.firstPromptNanos.isEmpty()) {
			this.firstPromptNanos = OptionalLong.of(nowNanos);
		}
		Optional<Holder> holder = holder(wish, nowNanos);
		Priced chosen = free.stream()
			.map((row) -> price(wish, row, holder))
			.min(Comparator.comparingDouble(Priced::cost).thenComparingLong((priced) -> rank(wish, priced.row)))
			.orElseThrow();
		long millis = (long) chosen.cost;
		double factor = Math.max(LATE_FACTOR_LEAST, LATE_FACTOR - LATE_FACTOR_STEP * wish.priority());
		if (millis > wish.targetMillis() * factor) {
			return new Choice.Full(free.size(), millis);
		}
		return new Choice.Chosen(chosen.row.server, chosen.row.load(), chosen.unread, millis, free.size(),
				chosen.fetchFrom.map((row) -> row.server), Optional.of(chosen.work));
	}

	// Who has most of the shared parts of a prompt; servers that leave have theirs until
	// they are gone.
	private Optional<Holder> holder(Wish wish, long nowNanos) {
		List<BackendRow> rows = this.table.holders(wish.service())
			.stream()
			.filter((row) -> !row.avoided(nowNanos))
			.toList();
		Optional<Holder> most = rows.stream()
			.map((row) -> new Holder(row, row.parts.held(wish.shared())))
			.filter((holder) -> holder.tokens > 0)
			.max(Comparator.comparingInt(Holder::tokens)
				.thenComparing((holder) -> holder.row.server.zone().equals(this.zone))
				.thenComparingLong((holder) -> rank(wish, holder.row)));
		return most.isPresent() ? most : presumed(wish, rows, nowNanos);
	}

	// A process that was just restarted knows of no part. Servers that ran before it are
	// taken to have theirs by the common order: taken as empty, they seemed to have every
	// prompt to read anew, and 200 calls were refused for that in the two seconds behind
	// a kill of all processes.
	private Optional<Holder> presumed(Wish wish, List<BackendRow> rows, long nowNanos) {
		boolean ignorant = nowNanos - this.firstPromptNanos.getAsLong() < IGNORANT_NANOS;
		return rows.stream()
			.filter((row) -> ignorant && row.registeredNanos.isEmpty())
			.min(Comparator.comparingLong((row) -> rank(wish, row)))
			.map((row) -> new Holder(row, wish.shared().tokens()));
	}

	private Priced price(Wish wish, BackendRow row, Optional<Holder> holder) {
		FirstTokenModel model = model(wish.service());
		boolean isHolder = holder.isPresent() && holder.get().row == row;
		int held = isHolder ? holder.get().tokens : row.parts.held(wish.shared());
		int elsewhere = holder.map(Holder::tokens).orElse(0) - held;
		double fetchMillis = (elsewhere > 0) ? wish.fetchMillis(elsewhere) : Double.POSITIVE_INFINITY;
		boolean fetches = fetchMillis < elsewhere / model.tokensPerMilli();
		int prompt = wish.ownTokens() + wish.shared().tokens();
		long unread = prompt - held - (fetches ? elsewhere : 0);
		Work work = Work.of(row.unreadTokens(), unread, prompt, row.load());
		double millis = row.slowness * model.expectedMillis(work) + (fetches ? fetchMillis : 0);
		return new Priced(row, unread, work, millis, fetches ? holder.map(Holder::row) : Optional.empty());
	}

	/**
	 * What is learned of the servers of a service.
	 * @param service the service
	 * @return the model, shared by all calls
	 */
	public FirstTokenModel model(String service) {
		return this.models.computeIfAbsent(service, (_) -> new FirstTokenModel());
	}

	/**
	 * The services of which something is learned.
	 * @return the models by service
	 */
	public Map<String, FirstTokenModel> models() {
		return Map.copyOf(this.models);
	}

	private static long rank(Wish wish, BackendRow row) {
		return Hashing.wyhashFinal4().hashCharsToLong(Long.toHexString(wish.shared().name()) + '@' + row.server.id());
	}

	/**
	 * What a call needs.
	 *
	 * @param service the service
	 * @param shared the parts of its prompt that it shares with other calls
	 * @param engine the engines of the service, empty when it has none
	 * @param ownTokens the tokens of its prompt that no other call has; 0 for a call that
	 * has no prompt
	 * @param targetMillis the time that is left until its first token should come
	 * @param priority its rank, 0 for the most urgent
	 */
	public record Wish(String service, SharedParts shared, Optional<EngineSpec> engine, int ownTokens,
			long targetMillis, int priority) {

		/**
		 * The time that is left until a call's first token should come. A call that has
		 * run is not refused for being late: its caller has the beginning of its answer,
		 * or nobody may promise that it did not run, so that all of its time is left.
		 * Held to the target of a first token, no stream went on at another server once
		 * its own had run for longer than that.
		 * @param targetMillis the target less the call's age, in milliseconds
		 * @param remainingMillis what is left of the call's time, in milliseconds
		 * @param ran whether a server may have run it
		 * @return the time in milliseconds, never negative
		 */
		public static long millisLeft(long targetMillis, long remainingMillis, boolean ran) {
			return Math.max(0, ran ? remainingMillis : targetMillis);
		}

		private double fetchMillis(int tokens) {
			return this.engine.map((spec) -> spec.fetchMillis(tokens)).orElse(Double.POSITIVE_INFINITY);
		}

	}

	/** What came of a choice. */
	public sealed interface Choice {

		/**
		 * A server takes the call.
		 *
		 * @param server the server
		 * @param load its calls, of all processes
		 * @param unreadTokens the prompt tokens that it has to read for the call
		 * @param expectedMillis the time to the first token, 0 when it is not known
		 * @param candidates the servers that were weighed
		 * @param fetchFrom who has the shared parts that it lacks
		 * @param work what it has to do until the first token, empty when that is not
		 * known
		 */
		record Chosen(BackendServer server, int load, long unreadTokens, long expectedMillis, int candidates,
				Optional<BackendServer> fetchFrom, Optional<Work> work) implements Choice {
		}

		/**
		 * All servers are full.
		 *
		 * @param servers the servers that would take calls if they had room
		 * @param expectedMillis the time to the first token at the best of them, 0 when
		 * none has a slot
		 */
		record Full(int servers, long expectedMillis) implements Choice {
		}

		/** No server takes calls. */
		record NoServer() implements Choice {
		}

	}

	private record Holder(BackendRow row, int tokens) {
	}

	private record Priced(BackendRow row, long unread, Work work, double cost, Optional<BackendRow> fetchFrom) {
	}

}
