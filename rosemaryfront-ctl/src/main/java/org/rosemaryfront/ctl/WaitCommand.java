package org.rosemaryfront.ctl;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Option;

/**
 * Waits until a revision is in force on all nodes, or until a pool has its backend
 * servers.
 */
public final class WaitCommand extends ServerCommand {

	private static final long POLL_MILLIS = 200;

	private static final Set<String> GONE = Set.of("dead", "leaving");

	private static final Set<String> OUT_OF_SERVICE = Set.of("leaving", "gone", "dead", "starting", "loading");

	@Option(name = "--revision", metaVar = "N", usage = "the revision (default: the one declared now)")
	private long revision = -1;

	@Option(name = "--pool", metaVar = "NAME", usage = "wait for the backend servers of a pool, too")
	private String pool = "";

	@Option(name = "--servers", metaVar = "N", usage = "how many backend servers (default: the pool's minimum)")
	private int servers = -1;

	@Option(name = "--nodes", metaVar = "N", usage = "how many nodes must be there at least (default: 1)")
	private int nodes = 1;

	@Option(name = "--timeout", metaVar = "SECONDS", usage = "how long to wait (default: 60)")
	private int timeout = 60;

	@Override
	ExitCode run(Console console, OperatorApi api) {
		long end = System.nanoTime() + Duration.ofSeconds(this.timeout).toNanos();
		String shown = "";
		while (true) {
			String missing = missing(api);
			if (missing.isEmpty()) {
				console.out().println("done");
				return ExitCode.DONE;
			}
			if (!missing.equals(shown)) {
				console.err().println("waiting: " + missing);
				shown = missing;
			}
			if (System.nanoTime() >= end) {
				throw CtlException.of(ExitCode.TIMEOUT, "after " + this.timeout + " s still waiting: " + missing);
			}
			pause();
		}
	}

	private String missing(OperatorApi api) {
		Answer answer = api.get("/apis/v1/status");
		if (answer.retryable()) {
			return answer.message();
		}
		JsonNode status = answer.document();
		if (this.revision < 0) {
			this.revision = status.path("declared").asLong();
		}
		List<String> missing = new ArrayList<>();
		addNodes(missing, status.path("nodes"));
		if (!this.pool.isEmpty()) {
			addServers(missing, status.path("pools"));
		}
		return String.join("; ", missing);
	}

	private void addNodes(List<String> missing, JsonNode members) {
		int there = 0;
		List<String> behind = new ArrayList<>();
		for (JsonNode member : members) {
			if (!GONE.contains(member.path("state").asText())) {
				there++;
				if (member.path("revision").asLong() < this.revision) {
					behind.add(member.path("vm").asText() + " at " + member.path("revision").asLong());
				}
			}
		}
		if (there < this.nodes) {
			missing.add(there + " of " + this.nodes + " nodes are there");
		}
		if (!behind.isEmpty()) {
			missing.add("revision " + this.revision + " is in force on " + (there - behind.size()) + " of " + there
					+ " nodes, behind: " + String.join(", ", behind));
		}
	}

	private void addServers(List<String> missing, JsonNode pools) {
		for (JsonNode item : pools) {
			if (item.path("name").asText().equals(this.pool)) {
				int wanted = (this.servers >= 0) ? this.servers : item.path("wanted").asInt();
				int serving = 0;
				for (JsonNode server : item.path("servers")) {
					serving += OUT_OF_SERVICE.contains(server.path("state").asText()) ? 0 : 1;
				}
				if (serving < wanted) {
					missing.add("pool " + this.pool + " has " + serving + " of " + wanted + " backend servers");
				}
				return;
			}
		}
		missing.add("pool " + this.pool + " is not in force");
	}

	private static void pause() {
		try {
			Thread.sleep(POLL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw CtlException.of(ExitCode.FAILED, "interrupted", ex);
		}
	}

}
