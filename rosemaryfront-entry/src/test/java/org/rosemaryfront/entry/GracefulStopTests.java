package org.rosemaryfront.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

class GracefulStopTests {

	/**
	 * A balancer goes on sending for a while after readiness went off. The decisions must
	 * take these requests and none later, and peers must know before that this entry
	 * takes no hand-off; told too early they refuse what the balancer still sends, and
	 * not told at all they begin what the stop then has to move.
	 */
	@Test
	void shouldTellDecisionsOnceTheTimeOfTheBalancerIsOver() {
		Recorder steps = new Recorder();
		GracefulStop stop = new GracefulStop(new EntrySettings.Stop(1, 1, 1, 1, 1), steps);
		steps.stop = stop;
		stop.run();
		assertThat(steps.done).containsExactly("leave LEAVING", "acceptNothing DRAINING", "handOver DRAINING",
				"failRest DRAINING");
	}

	private static final class Recorder implements GracefulStop.Steps {

		private final List<String> done = new CopyOnWriteArrayList<>();

		private GracefulStop stop;

		private void note(String step) {
			this.done.add(step + " " + this.stop.phase());
		}

		@Override
		public void acceptNothing() {
			note("acceptNothing");
		}

		@Override
		public void failRest() {
			note("failRest");
		}

		@Override
		public void leave() {
			note("leave");
		}

		@Override
		public boolean drained() {
			return true;
		}

		@Override
		public Mono<Void> handOver(Duration limit) {
			return Mono.fromRunnable(() -> note("handOver"));
		}

	}

}
