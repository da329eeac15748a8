package org.rosemaryfront.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.rosemaryfront.membership.MemberState;
import org.rosemaryfront.model.VmId;

/**
 * Measures how the cost of membership and configuration grows with the number of members:
 * prints one JSON line a size. Times are virtual, bytes are of real encoded datagrams
 * with the headers of IP and UDP, processor time is that of the decisions and the
 * encoding measured on this machine.
 *
 * <pre>
 * bin/slope-membership             # 3, 9, 27, 81, 243 and 380 members
 * bin/slope-membership 9 81        # only these sizes
 * </pre>
 */
public final class MembershipSlope {

	private static final int[] SIZES = { 3, 9, 27, 81, 243, 380 };

	private static final long JOIN_LIMIT_MILLIS = 120_000;

	private static final long STEADY_MILLIS = 60_000;

	/** After a join, until its changes are no longer passed on. */
	private static final long SETTLE_MILLIS = 120_000;

	/** 7,000 changes a day. */
	private static final long CHANGE_MILLIS = 12_000;

	/** Backend servers for each member at the size aimed for: 1,900 for 380. */
	private static final int RUNNERS_PER_MEMBER = 5;

	private static final double RECLAIMED_SHARE = 0.47;

	private static final int SEEDS = 5;

	private static final int SAMPLES_PER_SEED = 4;

	private static final long LIMIT_MILLIS = 120_000;

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private MembershipSlope() {
	}

	/**
	 * Runs the measurement.
	 * @param args the sizes, empty for the standard ones
	 * @throws JsonProcessingException never in practice
	 */
	public static void main(String[] args) throws JsonProcessingException {
		int[] sizes = (args.length > 0) ? Arrays.stream(args).mapToInt(Integer::parseInt).toArray() : SIZES;
		steady(9, 1);
		for (int size : sizes) {
			Map<String, Object> line = new LinkedHashMap<>();
			line.put("members", size);
			line.putAll(steady(size, 1));
			CompletableFuture<Map<String, Object>> wave = CompletableFuture.supplyAsync(() -> wave(size));
			CompletableFuture<Map<String, Object>> lossy = CompletableFuture.supplyAsync(() -> lossy(size));
			line.putAll(spread(size));
			line.putAll(wave.join());
			line.putAll(lossy.join());
			System.out.println(MAPPER.writeValueAsString(line));
		}
	}

	// -- cost

	private static Map<String, Object> steady(int size, long seed) {
		long heapBefore = usedHeap();
		MembershipSimulation simulation = MembershipSimulation.ofEncoded(size, seed);
		double joinMillis = joined(simulation);
		simulation.run(SETTLE_MILLIS);
		Totals before = Totals.of(simulation);
		long cpuBefore = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
		for (long at = 0; at < STEADY_MILLIS; at += CHANGE_MILLIS) {
			simulation.apply();
			simulation.run(CHANGE_MILLIS);
		}
		long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuBefore;
		Totals after = Totals.of(simulation);
		long heapAfter = usedHeap();
		double perNodeSecond = size * STEADY_MILLIS / 1_000.0;
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("joinMillis", rounded(joinMillis));
		line.put("sentBytesPerSecond", rounded((after.sentBytes - before.sentBytes) / perNodeSecond));
		line.put("receivedBytesPerSecond", rounded((after.receivedBytes - before.receivedBytes) / perNodeSecond));
		line.put("messagesPerSecond", rounded((after.messages - before.messages) / perNodeSecond));
		line.put("configurationReadsPerSecond", (after.reads - before.reads) / perNodeSecond);
		line.put("cpuNanosPerNodeSecond", rounded(cpu / perNodeSecond));
		line.put("heapBytesPerMember", rounded((heapAfter - heapBefore) / (double) size));
		return line;
	}

	// -- how long until all know

	private static Map<String, Object> spread(int size) {
		List<Double> detected = new ArrayList<>();
		List<Double> departures = new ArrayList<>();
		List<Double> revisions = new ArrayList<>();
		for (Spread spread : LongStream.rangeClosed(1, SEEDS)
			.parallel()
			.mapToObj((seed) -> spread(size, seed))
			.toList()) {
			detected.addAll(spread.detected());
			departures.addAll(spread.departures());
			revisions.addAll(spread.revisions());
		}
		Map<String, Object> line = new LinkedHashMap<>();
		put(line, "deadDetectedMillis", detected);
		put(line, "departureKnownToAllMillis", departures);
		put(line, "revisionInForceEverywhereMillis", revisions);
		return line;
	}

	private static Spread spread(int size, long seed) {
		MembershipSimulation simulation = MembershipSimulation.of(size, seed);
		joined(simulation);
		Spread spread = new Spread(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
		for (int sample = 0; sample < SAMPLES_PER_SEED; sample++) {
			spread.departures().add(departure(simulation, sample));
			spread.revisions().add(revision(simulation));
		}
		spread.detected().addAll(detection(simulation));
		return spread;
	}

	private static double departure(MembershipSimulation simulation, int sample) {
		VmId vm = new VmId("runner-" + sample);
		List<SimulatedMember> members = simulation.members();
		simulation.announceDeparture(members.get(sample % members.size()), vm);
		double millis = simulation.runUntilAll((member) -> member.departures().contains(vm), LIMIT_MILLIS);
		simulation.run(3_000);
		return millis;
	}

	private static double revision(MembershipSimulation simulation) {
		long revision = simulation.apply();
		double millis = simulation.runUntilAll((member) -> member.configuration().revision() >= revision, LIMIT_MILLIS);
		simulation.run(3_000);
		return millis;
	}

	// Kills one member; a sample is the time until one other member holds it for dead.
	private static List<Double> detection(MembershipSimulation simulation) {
		SimulatedMember killed = simulation.members().getLast();
		simulation.kill(killed);
		List<SimulatedMember> waiting = new ArrayList<>(simulation.members());
		waiting.remove(killed);
		List<Double> samples = new ArrayList<>();
		double elapsed = 0;
		while (!waiting.isEmpty() && elapsed < LIMIT_MILLIS) {
			simulation.run(100);
			elapsed += 100;
			double at = elapsed;
			waiting.removeIf((member) -> {
				boolean dead = member.view(killed).filter((record) -> record.state() == MemberState.DEAD).isPresent();
				if (dead) {
					samples.add(at);
				}
				return dead;
			});
		}
		waiting.forEach((_) -> samples.add(-1.0));
		return samples;
	}

	// -- wave

	// 47 of 100 backend servers are reclaimed at once, and one member learns of all.
	private static Map<String, Object> wave(int size) {
		MembershipSimulation simulation = MembershipSimulation.ofEncoded(size, 5);
		joined(simulation);
		simulation.run(SETTLE_MILLIS);
		Totals before = Totals.of(simulation);
		int count = (int) Math.ceil(size * RUNNERS_PER_MEMBER * RECLAIMED_SHARE);
		for (int i = 0; i < count; i++) {
			simulation.announceDeparture(simulation.members().getFirst(), new VmId("runner-%04d".formatted(i)));
		}
		double millis = simulation.runUntilAll((member) -> member.departures().size() == count, LIMIT_MILLIS);
		Totals after = Totals.of(simulation);
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("waveDepartures", count);
		line.put("waveKnownToAllMillis", rounded(millis));
		line.put("waveSentBytesPerNode", rounded((after.sentBytes - before.sentBytes) / (double) size));
		return line;
	}

	// -- loss

	private static Map<String, Object> lossy(int size) {
		long suspicions = 0;
		long deaths = 0;
		MembershipSimulation simulation = MembershipSimulation.of(size, 77);
		joined(simulation);
		simulation.network().loss(0.01);
		simulation.members().forEach((member) -> member.changes().clear());
		simulation.run(2 * STEADY_MILLIS);
		for (SimulatedMember member : simulation.members()) {
			suspicions += member.changes().stream().filter((record) -> record.state() == MemberState.SUSPECT).count();
			deaths += member.changes().stream().filter((record) -> record.state() == MemberState.DEAD).count();
		}
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("probesAtOnePercentLoss", size * 2 * STEADY_MILLIS / 1_000);
		line.put("falseSuspicionsHeard", suspicions);
		line.put("falseDeaths", deaths);
		return line;
	}

	// -- helpers

	private static double joined(MembershipSimulation simulation) {
		int size = simulation.members().size();
		double millis = simulation.runUntilAll((member) -> member.membership().size() == size, JOIN_LIMIT_MILLIS);
		simulation.run(5_000);
		return millis;
	}

	private static void put(Map<String, Object> line, String name, List<Double> samples) {
		Collections.sort(samples);
		line.put(name,
				Map.of("p50", percentile(samples, 0.5), "p99", percentile(samples, 0.99), "max",
						rounded(samples.getLast()), "missed", samples.stream().filter((sample) -> sample < 0).count(),
						"samples", samples.size()));
	}

	private static double percentile(List<Double> sorted, double share) {
		return rounded(sorted.get((int) Math.min(sorted.size() - 1, Math.ceil(share * sorted.size()) - 1)));
	}

	private static double rounded(double value) {
		return Math.round(value * 10) / 10.0;
	}

	private static long usedHeap() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private record Spread(List<Double> detected, List<Double> departures, List<Double> revisions) {
	}

	private record Totals(long messages, long sentBytes, long receivedBytes, long reads) {

		static Totals of(MembershipSimulation simulation) {
			long[] sums = new long[4];
			for (SimulatedMember member : simulation.members()) {
				SimulatedMember.Traffic traffic = member.traffic();
				sums[0] += traffic.sentMessages();
				sums[1] += traffic.sentBytes();
				sums[2] += traffic.receivedBytes();
				sums[3] += traffic.configurationReads();
			}
			return new Totals(sums[0], sums[1], sums[2], sums[3]);
		}

	}

}
