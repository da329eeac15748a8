package org.rosemaryfront.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Resource.Priority;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.serving.RequestSpec;
import org.rosemaryfront.serving.ServingCommand;
import org.rosemaryfront.serving.ServingDecisions;
import org.rosemaryfront.serving.ServingEvent;
import org.rosemaryfront.serving.ServingParameters;

/**
 * Measures what a routing decision costs by the number of runners known: time and bytes
 * allocated from the arrival of a request to its dispatch and its end, and the heap of
 * what an entry knows of a runner. A JSON line for each size.
 *
 * <pre>
 * bin/slope-routing
 * </pre>
 */
public final class RoutingSlope {

	private static final int[] SIZES = { 13, 190, 1_900 };

	private static final int WARM_UP = 60_000;

	private static final int MEASURED = 20_000;

	private static final int ROUNDS = 9;

	private static final int OPEN = 32;

	private static final int BLOCKS = 16;

	private static final int PROMPTS = 512;

	private static final long STEP_NANOS = 300 * VirtualTime.MICRO;

	private final ServingDecisions decisions;

	private final List<List<Long>> prompts;

	private final List<ServingCommand.Dispatch> open = new ArrayList<>();

	private long now = VirtualTime.SECOND;

	private long count;

	private RoutingSlope(int runners) {
		Deployment deployment = Deployment.tynkarnia();
		this.decisions = ServingDecisions.of(ServingParameters.defaults(deployment.zones().getFirst()), 1);
		this.decisions.accept(new ServingEvent.ConfigurationApplied(deployment.configuration()), this.now);
		for (int i = 0; i < runners; i++) {
			VmId id = new VmId("vm-" + i);
			String zone = deployment.zones().get(i % deployment.zones().size());
			this.decisions.accept(new ServingEvent.ServerDiscovered(id, deployment.pool().name(), zone, id + ":80"),
					this.now);
			this.decisions.accept(new ServingEvent.LoadReported(id, i % 4, 0, 200, 0), this.now);
		}
		this.prompts = prompts();
	}

	/**
	 * Measures every size.
	 * @param arguments none
	 * @throws JsonProcessingException never, since lines hold plain values
	 */
	public static void main(String[] arguments) throws JsonProcessingException {
		line(SIZES[0]);
		for (int runners : SIZES) {
			System.out.println(new ObjectMapper().writeValueAsString(line(runners)));
		}
	}

	private static Map<String, Object> line(int runners) {
		long heapBefore = heap();
		RoutingSlope slope = new RoutingSlope(runners);
		long heapOfRunners = heap() - heapBefore;
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("runners", runners);
		line.putAll(slope.measure());
		line.put("heapBytes", heapOfRunners);
		line.put("heapBytesInUse", heap() - heapBefore);
		return line;
	}

	// -- measurement

	private Map<String, Object> measure() {
		decide(WARM_UP);
		long[] nanos = new long[ROUNDS];
		long allocatedBefore = allocated();
		for (int round = 0; round < ROUNDS; round++) {
			long start = System.nanoTime();
			decide(MEASURED);
			nanos[round] = (System.nanoTime() - start) / MEASURED;
		}
		long bytes = (allocated() - allocatedBefore) / (ROUNDS * MEASURED);
		Arrays.sort(nanos);
		Map<String, Object> figures = new LinkedHashMap<>();
		figures.put("nanosPerDecisionLeast", nanos[0]);
		figures.put("nanosPerDecisionMedian", nanos[ROUNDS / 2]);
		figures.put("bytesPerDecision", bytes);
		return figures;
	}

	private void decide(int times) {
		for (int i = 0; i < times; i++) {
			this.now += STEP_NANOS;
			this.decisions.accept(arrival(), this.now);
			for (ServingCommand command : this.decisions.tick(this.now)) {
				if (command instanceof ServingCommand.Dispatch dispatch) {
					this.decisions.accept(new ServingEvent.AttemptAccepted(dispatch.attempt(), 0), this.now);
					this.open.add(dispatch);
				}
			}
			if (this.open.size() > OPEN) {
				this.decisions.accept(new ServingEvent.AttemptFinished(this.open.removeFirst().attempt()), this.now);
			}
		}
	}

	private ServingEvent arrival() {
		long number = this.count++;
		List<Long> blocks = this.prompts.get((int) (number % PROMPTS));
		RequestSpec spec = new RequestSpec("national-builder", "assistant", Deployment.MODEL, Priority.CHAT,
				BLOCKS * 32, 256, blocks, this.now + VirtualTime.SECOND, 33 * VirtualTime.MILLI,
				this.now + 30 * VirtualTime.SECOND);
		return new ServingEvent.RequestArrived(new RequestId("r" + number), spec);
	}

	private static List<List<Long>> prompts() {
		Random random = new Random(1);
		List<List<Long>> prompts = new ArrayList<>();
		for (int i = 0; i < PROMPTS; i++) {
			prompts.add(random.longs(BLOCKS).boxed().toList());
		}
		return prompts;
	}

	// -- the machine

	private static long allocated() {
		return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
			.getThreadAllocatedBytes(Thread.currentThread().threadId());
	}

	private static long heap() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
