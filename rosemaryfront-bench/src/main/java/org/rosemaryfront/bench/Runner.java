package org.rosemaryfront.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.rosemaryfront.engine.EngineClient.StreamOrder;
import org.rosemaryfront.engine.EngineEvent;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.serving.ServingEvent.Refusal;
import org.rosemaryfront.standin.engine.EngineModel;
import org.rosemaryfront.standin.engine.EngineParameters;
import org.rosemaryfront.standin.engine.ExportedContext;

/** A VM with a stand-in engine. */
final class Runner {

	private static final long SPIN_GUARD_NANOS = VirtualTime.MILLI;

	final VmId id;

	final String zone;

	final double pricePerHour;

	final EngineModel engine;

	private final VirtualTime time;

	private final Map<AttemptId, Connection> connections = new HashMap<>();

	private long wakeAt = Long.MAX_VALUE;

	long bootedNanos;

	boolean leaving;

	long noticedNanos;

	boolean gone;

	long goneAtNanos = Long.MAX_VALUE;

	Runner(VmId id, String zone, double pricePerHour, EngineParameters parameters, Set<Long> fleetBlocks,
			VirtualTime time) {
		this.id = id;
		this.zone = zone;
		this.pricePerHour = pricePerHour;
		this.time = time;
		this.engine = EngineModel.of(parameters, id.value().hashCode(), this::emit);
		this.engine.preload(0, List.of(Deployment.MODEL), List.of());
		this.engine.countAgainst(fleetBlocks);
	}

	String address() {
		return this.id + ":80";
	}

	// -- calls of entries

	Optional<Refusal> open(StreamOrder order, Connection connection) {
		this.connections.put(order.attempt(), connection);
		Optional<Refusal> refusal = this.engine.open(this.time.now(), order);
		refusal.ifPresent((_) -> this.connections.remove(order.attempt()));
		wake();
		return refusal;
	}

	Optional<List<EngineEvent>> attach(AttemptId stream, int offset, Connection connection) {
		Optional<List<EngineEvent>> events = this.engine.replay(this.time.now(), stream, offset);
		events.ifPresent((_) -> this.connections.put(stream, connection));
		wake();
		return events;
	}

	void cancel(AttemptId stream) {
		this.connections.remove(stream);
		this.engine.cancel(this.time.now(), stream);
		wake();
	}

	Optional<ExportedContext> export(AttemptId stream) {
		this.connections.remove(stream);
		Optional<ExportedContext> exported = this.engine.export(this.time.now(), stream);
		wake();
		return exported;
	}

	void importContext(ExportedContext exported) {
		this.engine.importContext(this.time.now(), exported);
		wake();
	}

	// -- the life of the VM

	void vanish() {
		this.gone = true;
		this.goneAtNanos = this.time.now();
		List.copyOf(this.connections.values()).forEach(Connection::lost);
		this.connections.clear();
	}

	// Makes every open connection carry nothing from now on.
	void silence() {
		this.connections.values().forEach(Connection::silence);
	}

	// -- time

	private void emit(EngineEvent event) {
		Connection connection = this.connections.get(event.attempt());
		if (connection != null) {
			connection.deliver(event);
		}
	}

	private void wake() {
		long next = this.engine.nextEventAt();
		if (!this.gone && next != Long.MAX_VALUE && next < this.wakeAt) {
			this.wakeAt = Math.max(next, this.time.now());
			long planned = this.wakeAt;
			this.time.at(planned, () -> woken(planned));
		}
	}

	private void woken(long planned) {
		if (this.gone || planned != this.wakeAt) {
			return;
		}
		this.engine.advance(this.time.now());
		this.wakeAt = Long.MAX_VALUE;
		if (this.engine.nextEventAt() <= this.time.now()) {
			this.wakeAt = this.time.now() + SPIN_GUARD_NANOS;
			long next = this.wakeAt;
			this.time.at(next, () -> woken(next));
		}
		else {
			wake();
		}
	}

}
