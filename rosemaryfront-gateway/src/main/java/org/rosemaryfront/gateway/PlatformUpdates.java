package org.rosemaryfront.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.RecordCodec;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.routes.TrafficConfiguration;
import org.rosemaryfront.tables.Freshness;
import org.rosemaryfront.tables.StoreVersion;

/**
 * Applies rows of the platform's tables to the configuration, the backend servers and the
 * roll-outs of this gateway.
 */
final class PlatformUpdates {

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final RecordCodec records;

	private final ControlLoop control;

	private final BackendTable servers;

	private final GatewayControl decisions;

	private volatile boolean configurationRead;

	/**
	 * The version of the last configuration row that was decoded; the watch of its table
	 * passes rows one at a time.
	 */
	private volatile long configurationRowVersion;

	private volatile boolean serversRead;

	/** How old the local copy of the servers is, and when the store was unavailable. */
	private final Freshness freshness;

	/** Called when a server has restarted under its ID. */
	private final Runnable startedAgain;

	private final Rollouts rollouts;

	/** Called for each row that cannot be decoded. */
	private final Runnable onUnreadable;

	PlatformUpdates(RecordCodec records, ControlLoop control, BackendTable servers, GatewayControl decisions,
			Rollouts rollouts, Freshness freshness, Runnable startedAgain, Runnable onUnreadable) {
		this.rollouts = rollouts;
		this.freshness = freshness;
		this.startedAgain = startedAgain;
		this.onUnreadable = onUnreadable;
		this.records = records;
		this.control = control;
		this.servers = servers;
		this.decisions = decisions;
	}

	/**
	 * Returns whether a configuration and the servers have been read.
	 * @return true once both have been read
	 */
	boolean isComplete() {
		return this.configurationRead && this.serversRead;
	}

	TableWatch.Listener configuration() {
		return new ConfigurationListener();
	}

	TableWatch.Listener servers() {
		return new ServerListener();
	}

	private void applyConfigurationRow(Row row) {
		Optional<String> rollout = this.records.rolloutService(row.key());
		if (rollout.isPresent()) {
			this.control.post((now) -> applyRolloutRow(rollout.get(), row, now));
			return;
		}
		boolean isConfiguration = row.key().equals(this.records.configuration().key());
		if (!isConfiguration || row.value().isEmpty() || row.version() <= this.configurationRowVersion) {
			return;
		}
		this.configurationRowVersion = row.version();
		try {
			long begunNanos = System.nanoTime();
			TrafficConfiguration read = this.records.configuration(row.value().get());
			EventLog.info(GatewayEvents.CONFIGURATION_READ, "version", read.version(), "rowVersion",
					StoreVersion.format(row.version()), "bytes", row.value().get().length, "millis",
					(System.nanoTime() - begunNanos) / NANOS_PER_MILLI);
			this.control.post((_) -> {
				this.decisions.configuration(read);
				this.configurationRead = true;
			});
		}
		catch (IllegalArgumentException ex) {
			EventLog.error(GatewayEvents.CONFIGURATION_REJECTED, "rowVersion", StoreVersion.format(row.version()),
					"cause", ex.getMessage());
		}
	}

	private void applyRolloutRow(String service, Row row, long now) {
		if (row.value().isEmpty()) {
			this.rollouts.withdrawn(service, now);
			return;
		}
		try {
			this.rollouts.ordered(this.records.rolloutOrder(service, row.value().get(), row.version()));
		}
		catch (IllegalArgumentException ex) {
			this.onUnreadable.run();
			this.rollouts.unreadable(service, row.version(), ex);
		}
	}

	private void applyServerRow(Row row, long now) {
		if (row.value().isEmpty()) {
			registrationExpired(row.key(), now);
			return;
		}
		try {
			BackendServer server = this.records.server(row.key(), row.value().get());
			if (this.servers.isOutdated(server)) {
				EventLog.info(GatewayEvents.SERVER_OUTDATED, "server", server.id(), "started", server.startedMillis(),
						"leaving", server.leaving(), "sequence", server.sequence(), "rowVersion",
						StoreVersion.format(row.version()));
				return;
			}
			boolean startedAgain = this.servers.isRestart(server);
			boolean changed = this.serversRead ? this.servers.recordRegistration(server, now)
					: this.servers.recordExistingRegistration(server);
			if (changed) {
				EventLog.info(GatewayEvents.SERVER_REGISTERED, "server", server.id(), "started", server.startedMillis(),
						"startedAgain", startedAgain, "service", server.service(), "address", server.address(), "zone",
						server.zone(), "leaving", server.leaving(), "reclaimable", server.reclaimable(), "sequence",
						server.sequence(), "rowVersion", StoreVersion.format(row.version()));
			}
			if (startedAgain) {
				this.startedAgain.run();
			}
		}
		catch (IllegalArgumentException ex) {
			this.servers.recordInvalidRegistration(row.key());
			this.onUnreadable.run();
			EventLog.warn(GatewayEvents.SERVER_UNREADABLE, "server", row.key(), "bytes", row.value().get().length,
					"cause", ex.getMessage(), "rowVersion", StoreVersion.format(row.version()));
		}
	}

	// Registrations expire during an outage of the store, including those of live
	// servers.
	private void registrationExpired(String id, long now) {
		OptionalLong returned = this.freshness.outageEndNanos();
		long keptNanos = this.servers.recordLapse(id, now, returned);
		EventLog.info(GatewayEvents.SERVER_LAPSED, "server", id, "storeBackMillis",
				returned.isPresent() ? (now - returned.getAsLong()) / NANOS_PER_MILLI : "never", "keptMillis",
				keptNanos / NANOS_PER_MILLI);
	}

	private void replaceServers(List<Row> rows, long version, long now) {
		Set<String> present = new HashSet<>();
		rows.forEach((row) -> present.add(row.key()));
		this.servers.servers()
			.stream()
			.map(BackendServer::id)
			.filter((id) -> !present.contains(id))
			.forEach((id) -> registrationExpired(id, now));
		rows.forEach((row) -> applyServerRow(row, now));
		this.decisions.serversUpdated(StoreVersion.format(version), now);
		this.serversRead = true;
	}

	private final class ConfigurationListener implements TableWatch.Listener {

		@Override
		public void tableRead(List<Row> rows, long version) {
			rowsChanged(rows, version);
		}

		@Override
		public void rowsChanged(List<Row> rows, long version) {
			rows.forEach(PlatformUpdates.this::applyConfigurationRow);
		}

	}

	private final class ServerListener implements TableWatch.Listener {

		@Override
		public void tableRead(List<Row> rows, long version) {
			PlatformUpdates.this.control.post((now) -> replaceServers(rows, version, now));
		}

		@Override
		public void rowsChanged(List<Row> rows, long version) {
			PlatformUpdates.this.control.post((now) -> {
				rows.forEach((row) -> applyServerRow(row, now));
				PlatformUpdates.this.decisions.serversUpdated(StoreVersion.format(version), now);
			});
		}

	}

}
