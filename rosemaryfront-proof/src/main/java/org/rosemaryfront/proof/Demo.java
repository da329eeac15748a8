package org.rosemaryfront.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Plays the whole path as separate processes and tells what happens in plain lines.
 *
 * <p>
 * Exit codes: 0 when every answer was whole, 1 when not, 2 for a wrong command line.
 */
public final class Demo {

	private static final int LONG_ANSWER = 60;

	private static final Duration NOTICE = Duration.ofSeconds(2);

	private static final Pattern SERVER = Pattern.compile("server=(\\S+)");

	@Option(name = "--home", required = true, metaVar = "FOLDER", usage = "the root of the project")
	private Path home;

	@Option(name = "--deployment", metaVar = "NAME", usage = "federation or tynkarnia")
	private String deployment = "federation";

	@Option(name = "--keep", usage = "leave everything up")
	private boolean keep;

	@Option(name = "--state", metaVar = "FILE", usage = "where to write addresses, keys and processes")
	private Path state;

	@Option(name = "--stop", usage = "end the processes that the state file names")
	private boolean stop;

	private int failures;

	private Demo() {
	}

	/**
	 * Runs the demo.
	 * @param args the command line
	 * @throws IOException when the state file cannot be read or written
	 */
	public static void main(String[] args) throws IOException {
		Demo demo = new Demo();
		CmdLineParser parser = new CmdLineParser(demo);
		try {
			parser.parseArgument(args);
		}
		catch (CmdLineException ex) {
			System.err.println("demo: " + ex.getMessage());
			parser.printUsage(System.err);
			System.exit(2);
		}
		System.exit(demo.run());
	}

	private int run() throws IOException {
		if (this.stop) {
			return stopAll();
		}
		Deployment chosen = this.deployment.equals("tynkarnia") ? Deployment.tynkarnia() : Deployment.federation();
		say("Starting the stand-ins and three entries in " + String.join(", ", chosen.zones()));
		Cluster cluster = Cluster.start(this.home, Cluster.scratch(this.home, "demo"), chosen, 3);
		try {
			play(cluster);
			if (this.keep) {
				writeState(cluster);
				return this.failures;
			}
		}
		finally {
			if (!this.keep) {
				cluster.close();
			}
		}
		say((this.failures == 0) ? "Every answer was whole." : this.failures + " steps failed.");
		return (this.failures == 0) ? 0 : 1;
	}

	private void play(Cluster cluster) {
		say("Declaring pools, models, organisations and latency targets with rosemaryctl");
		cluster.apply();
		say("In force on all nodes; the controller bought " + cluster.deployment().runners() + " runners and "
				+ cluster.deployment().services() + " booking servers");
		String organisation = cluster.deployment().organisations().getFirst();
		try (Caller caller = Caller.of(organisation, Deployment.key(organisation), cluster.callers())) {
			streamOverReclaim(cluster, caller);
			bookTwice(cluster, caller);
			streamOverEntryStop(cluster, caller);
		}
	}

	private void streamOverReclaim(Cluster cluster, Caller caller) {
		String model = cluster.deployment().model();
		String question = Questions.withLongAnswer(model, "Draft a quote for the villa in Sfax", LONG_ANSWER);
		say(caller.organisation() + " asks: " + question);
		AtomicBoolean reclaimed = new AtomicBoolean();
		Caller.Streamed answer = caller.chat(model, question, Questions.MAX_TOKENS, (tokens) -> {
			if (tokens >= 10 && reclaimed.compareAndSet(false, true)) {
				String runner = runnerOf(cluster);
				say("  after " + tokens + " tokens the cloud reclaims the runner " + runner + " with "
						+ NOTICE.toSeconds() + " s notice");
				cluster.reclaim("\"vm\": \"" + runner + "\"", NOTICE);
			}
		});
		check(answer, model, question);
	}

	private void bookTwice(Cluster cluster, Caller caller) {
		String body = "{\"household\": \"villa-12\", \"slot\": \"2026-12-07T09:00\"}";
		String path = cluster.deployment().servicePool() + "/bookings";
		say(caller.organisation() + " books a visit, and repeats the call through another entry with the same key");
		Caller.Answer first = caller.post(0, path, "demo-booking-1", body);
		Caller.Answer second = caller.post(1, path, "demo-booking-1", body);
		int runs = cluster.executions().values().stream().mapToInt(Integer::intValue).sum();
		say("  answers " + first.status() + " and " + second.status() + ", the booking ran " + runs + " time(s)");
		expect(first.status() == 201 && second.equals(first) && runs == 1, "one booking, two equal answers");
	}

	private void streamOverEntryStop(Cluster cluster, Caller caller) {
		String model = cluster.deployment().model();
		String question = Questions.withLongAnswer(model, "Summarise the complaint of the household", LONG_ANSWER);
		ManagedProcess entry = cluster.entries().getFirst();
		say(caller.organisation() + " asks: " + question);
		AtomicBoolean stopped = new AtomicBoolean();
		Caller.Streamed answer = caller.chat(model, question, Questions.MAX_TOKENS, (tokens) -> {
			if (tokens >= 10 && stopped.compareAndSet(false, true)) {
				say("  after " + tokens + " tokens the entry " + entry.name() + " is asked to stop");
				entry.terminate();
			}
		});
		check(answer, model, question);
		expect(entry.awaitEnd(Duration.ofSeconds(60)), "the entry stopped");
		cluster.forget(entry);
	}

	private static String runnerOf(Cluster cluster) {
		for (ManagedProcess entry : cluster.entries()) {
			List<String> lines = entry.logged("REQUEST_DISPATCHED");
			if (!lines.isEmpty()) {
				Matcher matcher = SERVER.matcher(lines.getLast());
				if (matcher.find()) {
					return matcher.group(1);
				}
			}
		}
		throw new IllegalStateException("no entry has dispatched a request");
	}

	private void check(Caller.Streamed answer, String model, String question) {
		boolean equal = answer.text().equals(Questions.answer(model, question));
		say("  " + answer.tokens() + " tokens over " + answer.connections() + " connection(s), "
				+ (answer.whole() ? "whole" : "not whole") + (equal ? " and as expected" : ", but not as expected"));
		expect(answer.whole() && equal, "a whole answer; problem: " + answer.problem().orElse("none"));
	}

	private void expect(boolean holds, String what) {
		if (!holds) {
			this.failures++;
			say("  FAILED: expected " + what);
		}
	}

	private void writeState(Cluster cluster) throws IOException {
		ObjectNode root = JsonMapper.builder().build().createObjectNode();
		cluster.callers().forEach(root.putArray("callers")::add);
		cluster.operators().forEach(root.putArray("operators")::add);
		root.put("platform", "http://" + cluster.platform().listener("http"));
		ArrayNode organisations = root.putArray("organisations");
		cluster.deployment()
			.organisations()
			.forEach((name) -> organisations.addObject().put("name", name).put("key", Deployment.key(name)));
		root.put("operatorKey", Cluster.OPERATOR_KEY);
		ArrayNode processes = root.putArray("processes");
		cluster.processes().stream().filter(ManagedProcess::alive).forEach((process) -> {
			String address = process.listeners().values().stream().findFirst().orElse("");
			processes.addObject()
				.put("name", process.name())
				.put("program", process.program())
				.put("zone", process.zone())
				.put("pid", process.pid())
				.put("url", "http://" + process.listeners().getOrDefault("callers", address));
		});
		if (this.state != null) {
			Files.writeString(this.state, root.toPrettyString() + "\n");
			say("Everything is left up; " + this.state + " tells where");
		}
		else {
			System.out.println(root.toPrettyString());
		}
	}

	private int stopAll() throws IOException {
		if (this.state == null) {
			System.err.println("demo: --stop needs --state FILE");
			return 2;
		}
		for (JsonNode process : JsonMapper.builder().build().readTree(this.state.toFile()).path("processes")) {
			ProcessHandle.of(process.path("pid").asLong())
				.filter((handle) -> handle.info().commandLine().orElse("").contains("org.rosemaryfront"))
				.ifPresent(ProcessHandle::destroyForcibly);
		}
		return 0;
	}

	private static void say(String line) {
		System.out.println(line);
	}

}
