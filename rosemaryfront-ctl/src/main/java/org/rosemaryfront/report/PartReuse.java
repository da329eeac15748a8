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
 * @param found the tokens that the server had cached
 * @param fetched the tokens that were transferred from another server
 * @param again the tokens that were recomputed although another server had them cached
 * @param first the tokens that no server had cached
 */
record PartReuse(long found, long fetched, long again, long first) {

	/**
	 * Computes the reuse from the dispatches of calls, in chronological order.
	 * @param calls the calls
	 * @return the token counts
	 */
	static PartReuse of(Collection<CallStory> calls) {
		List<LogEvent> sent = new ArrayList<>();
		calls.forEach((call) -> sent.addAll(call.dispatches()));
		sent.sort(Comparator.comparingDouble(LogEvent::second));
		Memory memory = new Memory();
		sent.forEach(memory::take);
		return new PartReuse(memory.found, memory.fetched, memory.again, memory.first);
	}

	/**
	 * Returns the recomputed share of the tokens that at least one server had cached.
	 * @return the share, 0 when no server had any of the tokens cached
	 */
	double shareReadAgain() {
		long possible = this.found + this.fetched + this.again;
		return (possible > 0) ? (double) this.again / possible : 0;
	}

	private static final class Memory {

		private final Map<String, Set<String>> servers = new HashMap<>();

		private final Set<String> anywhere = new HashSet<>();

		private long found;

		private long fetched;

		private long again;

		private long first;

		// A cached segment is usable only after all segments before it, so it is
		// identified by the whole chain.
		private void take(LogEvent event) {
			String[] entries = event.text("parts").split(",");
			Set<String> here = of(event.text("server"));
			Set<String> source = of(event.text("fetchFrom"));
			StringBuilder chain = new StringBuilder();
			for (int i = 0; i < entries.length - 1; i++) {
				int colon = entries[i].lastIndexOf(':');
				if (colon < 0) {
					return;
				}
				chain.append(entries[i], 0, colon).append('/');
				add(here, source, chain.toString(), tokens(entries[i].substring(colon + 1)));
			}
		}

		private Set<String> of(String server) {
			return this.servers.computeIfAbsent(server, (_) -> new HashSet<>());
		}

		private void add(Set<String> here, Set<String> source, String chain, long tokens) {
			boolean known = !this.anywhere.add(chain);
			if (!here.add(chain)) {
				this.found += tokens;
			}
			else if (source.contains(chain)) {
				this.fetched += tokens;
			}
			else if (known) {
				this.again += tokens;
			}
			else {
				this.first += tokens;
			}
		}

		private static long tokens(String text) {
			return text.matches("\\d{1,9}") ? Long.parseLong(text) : 0;
		}

	}

}
