package org.rosemaryfront.gateway;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import reactor.core.publisher.Mono;

import org.rosemaryfront.duties.PoolSize;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.ports.Duties;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.ports.StoreException.Reason;

/** Records the requests of duties, and can lose their responses. */
final class RecordedDuties implements Duties {

	private final List<Usage> usages = new CopyOnWriteArrayList<>();

	private final List<PoolSize> sizes = new CopyOnWriteArrayList<>();

	private volatile boolean losingResponses;

	private volatile long fencedBelow;

	List<Usage> usages() {
		return this.usages;
	}

	List<PoolSize> sizes() {
		return this.sizes;
	}

	void fencedBelow(long fence) {
		this.fencedBelow = fence;
	}

	void losingResponses(boolean now) {
		this.losingResponses = now;
	}

	@Override
	public Mono<Void> reportUsage(long fence, long window, Map<String, Long> counts) {
		return Mono.defer(() -> {
			this.usages.add(new Usage(fence, window, Map.copyOf(counts)));
			return (fence < this.fencedBelow)
					? Mono.error(StoreException.of(Reason.FENCED, Verdict.notRun(), "a higher fencing number was seen"))
					: respond();
		});
	}

	@Override
	public Mono<Void> resize(long fence, PoolSize order) {
		return Mono.defer(() -> {
			this.sizes.add(order);
			return respond();
		});
	}

	private Mono<Void> respond() {
		return this.losingResponses
				? Mono.error(StoreException.of(Reason.UNREACHABLE, Verdict.mayHaveRun(), "response lost"))
				: Mono.empty();
	}

	/**
	 * A usage report.
	 *
	 * @param fence the fencing number
	 * @param window the window
	 * @param counts the calls by organisation
	 */
	record Usage(long fence, long window, Map<String, Long> counts) {
	}

}
