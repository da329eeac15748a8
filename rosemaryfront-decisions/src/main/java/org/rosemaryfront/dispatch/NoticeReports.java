package org.rosemaryfront.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * What servers said to this process and other processes are to learn. It is told a few
 * times, since a report may be lost; a process that misses all learns it from its own
 * first response. Times are on the monotonic clock, in nanoseconds.
 */
public final class NoticeReports {

	private static final int REPEATS = 3;

	/** Bounds the size of a report; the others follow in the next ones. */
	private static final int MAX_NOTICES = 16;

	private final Map<Incarnation, Pending> pending = new LinkedHashMap<>();

	/**
	 * Adds what a server said to this process.
	 * @param server the run of the server
	 * @param leaving whether it is leaving
	 * @param backoffEndNanos until when it wants no requests; the current time for none
	 */
	public void add(Incarnation server, boolean leaving, long backoffEndNanos) {
		this.pending.put(server, new Pending(leaving, backoffEndNanos, REPEATS));
	}

	/**
	 * Returns what the next report tells.
	 * @param nowNanos the current time
	 * @return the notices
	 */
	public List<Notice> take(long nowNanos) {
		List<Notice> taken = new ArrayList<>();
		for (Map.Entry<Incarnation, Pending> entry : List.copyOf(this.pending.entrySet())) {
			if (taken.size() == MAX_NOTICES) {
				break;
			}
			Pending notice = entry.getValue();
			taken.add(new Notice(entry.getKey(), notice.leaving, Math.max(0, notice.backoffEndNanos - nowNanos)));
			this.pending.remove(entry.getKey());
			if (notice.repeats > 1) {
				this.pending.put(entry.getKey(),
						new Pending(notice.leaving, notice.backoffEndNanos, notice.repeats - 1));
			}
		}
		return taken;
	}

	/**
	 * What a server said.
	 *
	 * @param server the run of the server
	 * @param leaving whether it is leaving
	 * @param backoffNanos how much longer it wants no requests of the process that it
	 * said so to
	 */
	public record Notice(Incarnation server, boolean leaving, long backoffNanos) {
	}

	private record Pending(boolean leaving, long backoffEndNanos, int repeats) {
	}

}
