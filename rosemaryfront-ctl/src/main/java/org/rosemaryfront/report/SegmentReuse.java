package org.rosemaryfront.report;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Estimates the reuse of shared prompt segments from the servers that calls were
 * dispatched to. A segment counts as cached on a server that already had a call with it,
 * as transferred if the server to transfer from had one, and as recomputed if only other
 * servers had one. Servers evict segments when their memory is full, so the recomputed
 * tokens are a lower bound.
 *
 * @param cached the tokens that the server had cached
 * @param transferred the tokens that were transferred from another server
 * @param recomputed the tokens that were recomputed although another server had them
 * cached
 * @param uncached the tokens that no server had cached
 */
record SegmentReuse(long cached, long transferred, long recomputed, long uncached) {

	/**
	 * Computes the reuse from the dispatches of calls, in chronological order.
	 * @param calls the calls
	 * @return the token counts
	 */
	static SegmentReuse of(Collection<CallHistory> calls) {
		List<LogEvent> dispatches = new ArrayList<>();
		calls.forEach((call) -> dispatches.addAll(call.dispatches()));
		dispatches.sort(Comparator.comparingDouble(LogEvent::second));
		ServerCaches caches = new ServerCaches();
		dispatches.forEach(caches::addDispatch);
		return new SegmentReuse(caches.cached, caches.transferred, caches.recomputed, caches.uncached);
	}

	/**
	 * Returns the recomputed share of the tokens that at least one server had cached.
	 * @return the share, 0 when no server had any of the tokens cached
	 */
	double recomputedShare() {
		long possible = this.cached + this.transferred + this.recomputed;
		return (possible > 0) ? (double) this.recomputed / possible : 0;
	}

	private static final class ServerCaches {

		private final Map<String, Set<String>> segmentsByServer = new HashMap<>();

		private final Set<String> seen = new HashSet<>();

		private long cached;

		private long transferred;

		private long recomputed;

		private long uncached;

		// A cached segment is usable only after all segments before it, so it is
		// identified by the whole chain.
		private void addDispatch(LogEvent event) {
			String[] entries = event.text("parts").split(",");
			Set<String> serverSegments = segmentsOf(event.text("server"));
			Set<String> sourceSegments = segmentsOf(event.text("fetchFrom"));
			StringBuilder chain = new StringBuilder();
			for (int i = 0; i < entries.length - 1; i++) {
				int colon = entries[i].lastIndexOf(':');
				if (colon < 0) {
					return;
				}
				chain.append(entries[i], 0, colon).append('/');
				addSegment(serverSegments, sourceSegments, chain.toString(), tokens(entries[i].substring(colon + 1)));
			}
		}

		private Set<String> segmentsOf(String server) {
			return this.segmentsByServer.computeIfAbsent(server, (_) -> new HashSet<>());
		}

		private void addSegment(Set<String> serverSegments, Set<String> sourceSegments, String chain, long tokens) {
			boolean seenBefore = !this.seen.add(chain);
			if (!serverSegments.add(chain)) {
				this.cached += tokens;
			}
			else if (sourceSegments.contains(chain)) {
				this.transferred += tokens;
			}
			else if (seenBefore) {
				this.recomputed += tokens;
			}
			else {
				this.uncached += tokens;
			}
		}

		private static long tokens(String text) {
			return text.matches("\\d{1,9}") ? Long.parseLong(text) : 0;
		}

	}

}
