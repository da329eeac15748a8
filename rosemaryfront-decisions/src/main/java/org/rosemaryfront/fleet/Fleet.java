package org.rosemaryfront.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import com.dynatrace.hash4j.hashing.Hashing;

import org.rosemaryfront.tables.Role;

/**
 * Tracks the gateways of the fleet as one of them sees it: which are alive, which may
 * serve callers, and with which this one exchanges reports in both directions.
 *
 * <p>
 * A report names the last report that its sender received from the gateway it goes to.
 * One that confirms a recent report of this gateway shows three things: the reports of
 * the other gateway arrive here, those of this gateway arrive there, and the content is
 * no older than the confirmed report. The arrival of a report alone shows less: the link
 * may be cut in one direction, or the report may have waited in a socket during a process
 * pause.
 */
public final class Fleet {

	/** The report interval of a gateway in a small fleet, in nanoseconds. */
	private static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	/** The maximum report interval of a gateway, in nanoseconds. */
	private static final long MAX_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(320);

	/**
	 * Up to this number of gateways each reports at the shortest interval. Beyond it the
	 * interval grows, since the reports that each gateway sends and reads would otherwise
	 * grow with the fleet.
	 */
	private static final int SMALL_FLEET_SIZE = 40;

	/** The transit time of a report, including its waits at both ends, in nanoseconds. */
	private static final long TRANSIT_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * The number of report intervals for which a confirmed report counts, in addition to
	 * the transit time.
	 */
	private static final int CONFIRMATION_INTERVALS = 4;

	/**
	 * The time without a report after which none is confirmed any more, in nanoseconds.
	 */
	private static final long CONFIRMATION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The time without a report after which a gateway does not count as live, in
	 * nanoseconds.
	 */
	private static final long LIVENESS_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

	/**
	 * The time without a report after which a gateway counts as removed, in nanoseconds,
	 * as long as most are still present. Longer than network partitions usually last.
	 */
	private static final long REMOVAL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

	/**
	 * The time for which gateways may see different groups, in nanoseconds. Each notices
	 * a change at a different time, up to two reports apart.
	 */
	private static final long GROUP_CHANGE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The number of gateways that is assumed before the table of gateways was read. It is
	 * more than the observed deployments have, so that limits divided by it are not
	 * exceeded many times over.
	 */
	private static final int ASSUMED_GATEWAYS = 128;

	/**
	 * The fraction of all gateways from which on a group counts as agreed even if its
	 * members see different groups: few gateways are then in one group and not in
	 * another.
	 */
	private static final double AGREED_FRACTION = 0.9;

	/**
	 * The number of gateways that read the store's tables for all; any one of them is
	 * enough.
	 */
	private static final int READER_COUNT = 3;

	/**
	 * The time without a report after which a gateway does not count as a reader of
	 * tables, in nanoseconds.
	 */
	private static final long READER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	/**
	 * The time within which a gateway that takes over as a reader shows it to the others,
	 * in nanoseconds: a check of its tables, and a report at the longest interval.
	 */
	private static final long TAKEOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	private static final int MAX_DOUBLINGS = 16;

	/**
	 * The number of own reports whose sending times are kept: more than can be confirmed
	 * late.
	 */
	private static final int RETAINED_REPORTS = 32;

	/** The number of earlier starts of a gateway whose reports are recognised as late. */
	private static final int RETAINED_STARTS = 4;

	private final int ownStart;

	private final long[] sentNanos = new long[RETAINED_REPORTS];

	private final Map<String, Member> members = new HashMap<>();

	private int lastReportNumber;

	/** Confirmations of own reports up to this number are ignored. */
	private int discardedUpTo;

	private boolean membershipKnown;

	/**
	 * Since when gateways of the group have seen different groups, empty while all see
	 * the same.
	 */
	private OptionalLong groupsDifferSinceNanos = OptionalLong.empty();

	/** Since when some readers are missing, empty while none or all are. */
	private OptionalLong readersMissingSinceNanos = OptionalLong.empty();

	/**
	 * Creates a fleet of which only this gateway is known.
	 * @param self a number that identifies this start of this gateway
	 */
	public Fleet(int self) {
		this.ownStart = self;
	}

	/**
	 * Adds a gateway that is listed in the table of gateways.
	 * @param gateway the name of the gateway
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void addGateway(String gateway, long nowNanos) {
		this.members.computeIfAbsent(gateway, (name) -> new Member(rank(name), nowNanos));
	}

	/**
	 * Records that the table of gateways was read, so that the gateways that may serve
	 * are known.
	 */
	public void gatewaysListed() {
		this.membershipKnown = true;
	}

	/**
	 * Records that a report of this gateway is sent.
	 * @param reportNumber the number of the report, one more than that of the previous
	 * one
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void reportSent(int reportNumber, long nowNanos) {
		this.lastReportNumber = reportNumber;
		this.sentNanos[reportNumber % RETAINED_REPORTS] = nowNanos;
	}

	/**
	 * Processes a report of another gateway.
	 * @param report the part of the report that describes the fleet
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the status of the report
	 */
	public ReportStatus reportReceived(Report report, long nowNanos) {
		Member member = this.members.computeIfAbsent(report.gateway(), (name) -> new Member(rank(name), nowNanos));
		if (member.isLate(report)) {
			return ReportStatus.LATE;
		}
		boolean first = !member.reported || member.start != report.start();
		if (member.reported && first) {
			member.recordRestart();
		}
		member.reported = true;
		member.live = !report.leaving();
		member.left = report.leaving();
		member.removed = false;
		member.start = report.start();
		member.number = report.number();
		member.group = report.group();
		member.reads = report.reads();
		member.confirmed = report.confirmed()
			.filter((confirmation) -> confirmation.start() == this.ownStart)
			.map(Confirmation::number)
			.orElse(0);
		member.lastReportNanos = nowNanos;
		return first ? ReportStatus.FIRST : ReportStatus.CURRENT;
	}

	/**
	 * Marks gateways whose reports have timed out as not live.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the gateways that have timed out since the last call
	 */
	public List<String> timedOut(long nowNanos) {
		List<String> unresponsive = this.members.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().live
					&& nowNanos - entry.getValue().lastReportNanos >= LIVENESS_TIMEOUT_NANOS)
			.map(Map.Entry::getKey)
			.toList();
		unresponsive.forEach((gateway) -> this.members.get(gateway).live = false);
		return unresponsive;
	}

	/**
	 * Ignores the confirmations of all reports sent up to now. After a suspension of its
	 * VM this process would take old reports for recent, since its monotonic clock was
	 * stopped.
	 */
	public void discardConfirmations() {
		this.discardedUpTo = this.lastReportNumber;
	}

	/**
	 * Returns what a report to another gateway confirms.
	 * @param gateway the name of the other gateway
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the last report received from it, empty if none was received recently
	 */
	public Optional<Confirmation> confirmation(String gateway, long nowNanos) {
		return Optional.ofNullable(this.members.get(gateway))
			.filter((member) -> member.reported && !member.left
					&& nowNanos - member.lastReportNanos < CONFIRMATION_TIMEOUT_NANOS)
			.map((member) -> new Confirmation(member.start, member.number));
	}

	/**
	 * Returns whether a gateway reported recently and has not left.
	 * @param gateway the name of the gateway
	 * @return true until {@link #timedOut} returns the gateway
	 */
	public boolean isLive(String gateway) {
		return Optional.ofNullable(this.members.get(gateway)).filter((member) -> member.live).isPresent();
	}

	/**
	 * Returns the report interval of a gateway, which is longer in a large fleet.
	 * @return the interval in nanoseconds
	 */
	public long reportIntervalNanos() {
		return Math.clamp(REPORT_INTERVAL_NANOS * (1 + this.members.size()) / SMALL_FLEET_SIZE, REPORT_INTERVAL_NANOS,
				MAX_REPORT_INTERVAL_NANOS);
	}

	/**
	 * Returns the names of the live gateways.
	 * @param self the name of this gateway
	 * @return the names, this gateway included
	 */
	public List<String> liveGateways(String self) {
		List<String> names = new ArrayList<>(List.of(self));
		this.members.forEach((name, member) -> {
			if (member.live) {
				names.add(name);
			}
		});
		return names;
	}

	/**
	 * Returns the number of live gateways that this one knows.
	 * @return the number, this gateway included
	 */
	public int liveCount() {
		return 1 + count((member) -> member.live);
	}

	/**
	 * Returns an identifier of the group of gateways that exchange reports in both
	 * directions.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the same number at all gateways that exchange reports with exactly each
	 * other
	 */
	public int group(long nowNanos) {
		int sum = mix(this.ownStart);
		for (Member member : this.members.values()) {
			sum += isConfirming(member, nowNanos) ? mix(member.start) : 0;
		}
		return sum;
	}

	/**
	 * Returns how quotas are currently shared.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the sharing
	 */
	public Sharing sharing(long nowNanos) {
		if (!this.membershipKnown) {
			return Sharing.UNKNOWN;
		}
		int group = group(nowNanos);
		int confirming = 1;
		int confirmed = this.lastReportNumber;
		boolean same = true;
		for (Member member : this.members.values()) {
			if (isConfirming(member, nowNanos)) {
				confirming++;
				confirmed = Math.min(confirmed, member.confirmed);
				same &= member.group == group;
			}
		}
		int serving = Math.max(confirming, servingCount(nowNanos));
		boolean agreed = isAgreed(same, nowNanos) || confirming >= AGREED_FRACTION * serving;
		return new Sharing(serving, confirming, agreed, confirmed);
	}

	/**
	 * Returns the number of gateways that may serve callers, whether or not their reports
	 * arrive.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the number, this gateway included; a cautious assumption before the table
	 * of gateways was read
	 */
	public int servingCount(long nowNanos) {
		if (!this.membershipKnown) {
			return ASSUMED_GATEWAYS;
		}
		removeUnresponsive(nowNanos);
		return 1 + count(Member::mayServe);
	}

	private boolean isAgreed(boolean same, long nowNanos) {
		if (same) {
			this.groupsDifferSinceNanos = OptionalLong.empty();
		}
		else if (this.groupsDifferSinceNanos.isEmpty()) {
			this.groupsDifferSinceNanos = OptionalLong.of(nowNanos);
		}
		return same || nowNanos - this.groupsDifferSinceNanos.getAsLong() < GROUP_CHANGE_TIMEOUT_NANOS;
	}

	// A gateway without reports for a long time has terminated, or serves on the other
	// side of a network partition. Its part of the quotas goes to the others only where
	// most gateways are still present, and so never on both sides of a partition.
	private void removeUnresponsive(long nowNanos) {
		int unresponsive = count((member) -> isUnresponsive(member, nowNanos));
		if (unresponsive > 0 && 2 * unresponsive < count(Member::mayServe) + 1) {
			this.members.values()
				.stream()
				.filter((member) -> isUnresponsive(member, nowNanos))
				.forEach((member) -> member.removed = true);
		}
	}

	private static boolean isUnresponsive(Member member, long nowNanos) {
		return member.mayServe() && nowNanos - member.lastReportNanos >= REMOVAL_TIMEOUT_NANOS;
	}

	private int count(Predicate<Member> condition) {
		return (int) this.members.values().stream().filter(condition).count();
	}

	private boolean isConfirming(Member member, long nowNanos) {
		boolean retained = member.confirmed > this.discardedUpTo
				&& this.lastReportNumber - member.confirmed < RETAINED_REPORTS;
		return member.mayServe() && retained && nowNanos
				- this.sentNanos[member.confirmed % RETAINED_REPORTS] < CONFIRMATION_INTERVALS * reportIntervalNanos()
						+ TRANSIT_TIME_NANOS;
	}

	/**
	 * Returns whether this gateway exchanges reports with another one in both directions.
	 * @param gateway the name of the other gateway
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return true while it confirms recent reports of this gateway
	 */
	public boolean isConfirming(String gateway, long nowNanos) {
		return Optional.ofNullable(this.members.get(gateway))
			.filter((member) -> isConfirming(member, nowNanos))
			.isPresent();
	}

	/**
	 * Returns the gateway that comes first for a key among those that exchange reports
	 * with this one, in an order that differs from key to key.
	 * @param self the name of this gateway
	 * @param key the key
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the name of the gateway, which is the same at all gateways of a group
	 */
	public String preferred(String self, String key, long nowNanos) {
		long keyHash = rank(key);
		String preferred = self;
		long best = mix(rank(self) ^ keyHash);
		for (Map.Entry<String, Member> entry : this.members.entrySet()) {
			long place = mix(entry.getValue().rank ^ keyHash);
			if (Long.compareUnsigned(place, best) < 0 && isConfirming(entry.getValue(), nowNanos)) {
				preferred = entry.getKey();
				best = place;
			}
		}
		return preferred;
	}

	private static long mix(long bits) {
		long mixed = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

	// Spreads the bits, so that the sums of different groups differ.
	private static int mix(int start) {
		int bits = start * 0x9E3779B9;
		return (bits ^ (bits >>> 15)) * 0x85EBCA6B;
	}

	/**
	 * Returns the role of this gateway in reading the store's tables. The first few
	 * gateways that can read them do so, in an order that is the same at all gateways;
	 * the others rely on them.
	 * @param self the name of this gateway
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the role
	 */
	public Role role(String self, long nowNanos) {
		long ownRank = rank(self);
		int readersBefore = count((member) -> member.reads(nowNanos) && Long.compareUnsigned(member.rank, ownRank) < 0);
		if (readersBefore == 0 || readersBefore >= READER_COUNT) {
			this.readersMissingSinceNanos = OptionalLong.empty();
			return (readersBefore == 0) ? Role.FIRST : Role.RESTING;
		}
		int reportingBefore = count(
				(member) -> member.isReporting(nowNanos) && Long.compareUnsigned(member.rank, ownRank) < 0);
		return (reportingBefore < readersTakingOver(nowNanos)) ? Role.STAND_BY : Role.RESTING;
	}

	// While one gateway still reads, only the next ones in the order take over. If all
	// did, each would call the store for every table because one reader was late once.
	// The store may reject those that take over, so after a while twice as many do.
	private int readersTakingOver(long nowNanos) {
		if (this.readersMissingSinceNanos.isEmpty()) {
			this.readersMissingSinceNanos = OptionalLong.of(nowNanos);
		}
		long doublings = (nowNanos - this.readersMissingSinceNanos.getAsLong()) / TAKEOVER_NANOS;
		return READER_COUNT << Math.min(MAX_DOUBLINGS, doublings);
	}

	// Orders gateways by hash, so that a name or zone that sorts first does not make a
	// gateway a reader.
	private static long rank(String gateway) {
		return Hashing.wyhashFinal4().hashCharsToLong(gateway);
	}

	/** The status of a received report. */
	public enum ReportStatus {

		/** A later report, or one of a later start of its sender, was received before. */
		LATE,

		/** The first report of a start. Its sender waits for a confirmation. */
		FIRST,

		/**
		 * Not older than the reports received before. The same report may be received
		 * again with a confirmation.
		 */
		CURRENT

	}

	/**
	 * The part of a report that describes the fleet.
	 *
	 * @param gateway the name of the sender
	 * @param start a number that identifies the start of the sender
	 * @param number the number of the report, from 1 up
	 * @param leaving whether the sender will send no more reports
	 * @param group the group that the sender is in
	 * @param reads whether the sender reads the store's tables
	 * @param confirmed the last report that the sender received from the receiver of this
	 * one, empty if none was received recently
	 */
	public record Report(String gateway, int start, int number, boolean leaving, int group, boolean reads,
			Optional<Confirmation> confirmed) {

		public Report {
			Objects.requireNonNull(confirmed, "confirmed is null");
		}

	}

	/**
	 * The last report that was received from a gateway.
	 *
	 * @param start a number that identifies the start of the gateway
	 * @param number the number of the report
	 */
	public record Confirmation(int start, int number) {
	}

	/**
	 * How quotas are shared among the gateways.
	 *
	 * @param members the number of gateways that may serve callers, 0 while unknown
	 * @param group the number of those that exchange reports in both directions, this
	 * gateway included
	 * @param agreed whether all members of the group see the same group, or the group is
	 * nearly all of the gateways
	 * @param confirmed the number of the last report of this gateway that all of the
	 * group confirmed
	 */
	public record Sharing(int members, int group, boolean agreed, int confirmed) {

		/** The gateways that may serve callers are not known yet. */
		public static final Sharing UNKNOWN = new Sharing(0, 1, false, 0);

		/** A single gateway serves all callers. */
		public static final Sharing ALONE = new Sharing(1, 1, true, Integer.MAX_VALUE);

		/**
		 * Returns whether the gateways that may serve callers are known.
		 * @return false if the fraction of the quotas cannot be determined
		 */
		public boolean isKnown() {
			return this.members > 0;
		}

		/**
		 * Returns whether quotas are shared with as many gateways as in another sharing.
		 * @param other the other sharing
		 * @return true if the two differ at most in the confirmed report
		 */
		public boolean isSharedAs(Sharing other) {
			return this.members == other.members && this.group == other.group && this.agreed == other.agreed;
		}

		/**
		 * Returns the fraction of the quotas that is available to the group.
		 * @return the fraction, from 0 to 1
		 */
		public double fraction() {
			return isKnown() ? (double) this.group / this.members : 0;
		}

	}

	/** Another gateway. */
	private static final class Member {

		/** When its last report was received, or when it was added. */
		private long lastReportNanos;

		private int start;

		private int number;

		private int group;

		private boolean reads;

		/** Its position in the order of gateways. */
		private final long rank;

		/** The number of the last report of this gateway that it received; 0 for none. */
		private int confirmed;

		/** The starts before the current one. */
		private final Deque<Integer> earlierStarts = new ArrayDeque<>();

		/** Whether a report was ever received. */
		private boolean reported;

		/** Whether it reported recently and did not leave. */
		private boolean live;

		/** Whether it reported that it will send no more reports. */
		private boolean left;

		/** Whether its reports are missing for so long that it counts as terminated. */
		private boolean removed;

		private Member(long rank, long lastReportNanos) {
			this.rank = rank;
			this.lastReportNanos = lastReportNanos;
		}

		private boolean mayServe() {
			return !this.left && !this.removed;
		}

		private boolean reads(long nowNanos) {
			return this.reads && isReporting(nowNanos);
		}

		private boolean isReporting(long nowNanos) {
			return this.live && nowNanos - this.lastReportNanos < READER_TIMEOUT_NANOS;
		}

		// Detects datagrams that were delayed. A delayed report of an earlier start
		// would replace the content of a report of the later start.
		private boolean isLate(Report report) {
			boolean same = this.reported && this.start == report.start();
			return this.earlierStarts.contains(report.start()) || (same && report.number() - this.number < 0);
		}

		private void recordRestart() {
			this.earlierStarts.addFirst(this.start);
			if (this.earlierStarts.size() > RETAINED_STARTS) {
				this.earlierStarts.removeLast();
			}
		}

	}

}
