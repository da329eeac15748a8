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
 * What servers could find of the shared parts of prompts, judged by where calls went: a
 * part is found at a server that had a call with it before, fetched where the server that
 * it was to fetch from had one, and read again where only others had. Servers forget
 * parts when their memory is full, so that what is read again is at least this much.
 *
 * @param found the tokens that a server had
 * @param fetched the tokens that it fetched
 * @param again the tokens that only another server had
 * @param first the tokens that no server had
 */
record PartReuse(long found, long fetched, long again, long first) {

	/**
	 * Follows the calls of a log to their servers.
	 * @param calls the calls
	 * @return the tokens
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
	 * The share of what could have been found that was read again.
	 * @return the share, 0 when nothing could have been found
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

		// A part is of use only behind all parts before it, so that its name is the
		// chain.
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
