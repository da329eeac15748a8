package org.rosemaryfront.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Measures the serving policy against the baseline on virtual time and prints a JSON line
 * for each policy.
 *
 * <pre>
 * bin/bench federation-wave --seed 1
 * </pre>
 */
public final class Bench {

	@Argument(metaVar = "NAME", usage = "the scenario")
	private String scenario = "";

	@Option(name = "--list", usage = "print the scenarios and the policies")
	private boolean list;

	@Option(name = "--seed", metaVar = "N", usage = "the seed, 1 without it")
	private long seed = 1;

	@Option(name = "--policy", metaVar = "NAME",
			usage = "a policy besides the baseline; may be repeated; the candidate without it")
	private List<String> policies = new ArrayList<>();

	private Bench() {
	}

	/**
	 * Runs a scenario.
	 * @param arguments the command line
	 * @throws JsonProcessingException never, since lines hold plain values
	 */
	public static void main(String[] arguments) throws JsonProcessingException {
		Bench bench = new Bench();
		CmdLineParser parser = new CmdLineParser(bench);
		try {
			parser.parseArgument(arguments);
			bench.run();
		}
		catch (CmdLineException | IllegalArgumentException ex) {
			System.err.println(ex.getMessage());
			System.err.println("usage: bench NAME [--seed N] [--policy NAME ...] | bench --list");
			System.exit(2);
		}
	}

	private void run() throws JsonProcessingException {
		if (this.list) {
			Scenarios.all().keySet().forEach((name) -> System.out.println("scenario " + name));
			Policy.all().forEach((policy) -> System.out.println("policy " + policy.name()));
			return;
		}
		Scenario chosen = Scenarios.all().get(this.scenario);
		if (chosen == null) {
			throw new IllegalArgumentException("no scenario '" + this.scenario + "'; see --list");
		}
		long start = System.nanoTime();
		for (Map<String, Object> figures : chosen.measure(chosenPolicies(), this.seed)) {
			Map<String, Object> line = new LinkedHashMap<>();
			line.put("scenario", this.scenario);
			line.put("seed", this.seed);
			line.putAll(figures);
			System.out.println(new ObjectMapper().writeValueAsString(line));
		}
		System.err.printf("%s took %.1f s%n", this.scenario, (System.nanoTime() - start) / 1e9);
	}

	private List<Policy> chosenPolicies() {
		List<Policy> chosen = new ArrayList<>(List.of(Policy.BASELINE));
		if (this.policies.isEmpty()) {
			chosen.add(Policy.CANDIDATE);
		}
		for (String name : this.policies) {
			chosen.add(Policy.all()
				.stream()
				.filter((policy) -> policy.name().equals(name))
				.findFirst()
				.orElseThrow(() -> new IllegalArgumentException("no policy '" + name + "'; see --list")));
		}
		return chosen;
	}

}
