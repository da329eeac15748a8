package org.rosemaryfront.proof;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rosemaryfront.keys.Sha256;

/**
 * Measures the start-up time and the memory of each program, alone and idle: the time
 * from the start of the process to its ready line, and what it uses after a while. Prints
 * one JSON line a program and run.
 *
 * <pre>
 * bin/slope-programs       # 3 runs
 * </pre>
 */
public final class ProgramFigures {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final String HOST = "127.0.0.1";

	private static final String ZONE = "tunis-a";

	private static final Duration SETTLE = Duration.ofSeconds(5);

	private static final Duration IDLE = Duration.ofSeconds(10);

	private final Path home;

	private final Path folder;

	private final int run;

	private ProgramFigures(Path home, int run) {
		this.home = home;
		this.folder = Cluster.scratch(home, "program-figures");
		this.run = run;
	}

	/**
	 * Measures all programs.
	 * @param args the root of the project and the number of runs
	 * @throws IOException when rosemaryctl cannot be started
	 * @throws InterruptedException when it is interrupted
	 */
	public static void main(String[] args) throws IOException, InterruptedException {
		int runs = (args.length > 1) ? Integer.parseInt(args[1]) : 3;
		for (int run = 1; run <= runs; run++) {
			new ProgramFigures(Path.of(args[0]), run).measure();
		}
	}

	private void measure() throws IOException, InterruptedException {
		try (ManagedProcess platform = start("standin-platform", listener())) {
			String url = "http://" + platform.listener("http");
			ObjectNode engine = MAPPER.createObjectNode().put("platform", url).put("zone", ZONE);
			engine.set("listen", listener());
			ObjectNode service = engine.deepCopy();
			engine.put("machineClass", "gpu-small");
			service.put("machineClass", "cpu-small");
			start("standin-engine", engine).close();
			start("standin-service", service).close();
			ObjectNode entry = node(url);
			entry.set("callers", listener());
			ObjectNode operators = listener();
			operators.putArray("keyHashes").add(Sha256.hex(Cluster.OPERATOR_KEY));
			entry.set("operators", operators);
			ObjectNode controller = node(url);
			controller.set("status", listener());
			start("rosemaryfront-entry", entry).close();
			start("rosemaryfront-controller", controller).close();
		}
		command();
	}

	private ManagedProcess start(String program, ObjectNode settings) {
		long began = System.nanoTime();
		ManagedProcess process = ManagedProcess
			.start(this.home, this.folder, program + "-" + this.run, program, ZONE, settings)
			.awaitReady();
		double seconds = (System.nanoTime() - began) / 1e9;
		Pause.of(SETTLE);
		ProcessUse before = ProcessUse.of(process.pid());
		Pause.of(IDLE);
		ProcessUse after = ProcessUse.of(process.pid());
		System.out.printf(Locale.ROOT,
				"{\"program\": \"%s\", \"run\": %d, \"readySeconds\": %.2f, \"startCpuSeconds\": %.2f, "
						+ "\"residentMegabytes\": %.1f, \"peakMegabytes\": %.1f, \"threads\": %d, "
						+ "\"idleCorePercent\": %.2f}%n",
				program, this.run, seconds, before.cpuMillis() / 1e3, after.residentKilobytes() / 1024.0,
				after.peakKilobytes() / 1024.0, after.threads(),
				(after.cpuMillis() - before.cpuMillis()) * 100.0 / IDLE.toMillis());
		return process;
	}

	private void command() throws IOException, InterruptedException {
		long began = System.nanoTime();
		Process process = new ProcessBuilder(this.home.resolve("bin/rosemaryctl").toString(), "validate",
				this.home.resolve("examples/federation").toString())
			.redirectErrorStream(true)
			.redirectOutput(this.folder.resolve("ctl.out").toFile())
			.start();
		int code = process.waitFor();
		System.out.printf(Locale.ROOT,
				"{\"program\": \"rosemaryctl\", \"run\": %d, \"command\": \"validate\", \"exitCode\": %d, "
						+ "\"seconds\": %.2f}%n",
				this.run, code, (System.nanoTime() - began) / 1e9);
	}

	private static ObjectNode node(String url) {
		ObjectNode settings = MAPPER.createObjectNode()
			.put("vm", "entry-1")
			.put("region", "tn-north")
			.put("zone", ZONE);
		settings.putObject("platform").put("url", url);
		settings.set("peers", listener());
		return settings;
	}

	private static ObjectNode listener() {
		return MAPPER.createObjectNode().put("host", HOST).put("port", 0);
	}

}
