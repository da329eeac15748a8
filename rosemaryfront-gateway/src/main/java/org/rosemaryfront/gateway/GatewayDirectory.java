package org.rosemaryfront.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.LongConsumer;

import reactor.core.publisher.Mono;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.peer.Addresses;
import org.rosemaryfront.ports.RowStore.Commit;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.quota.QuotaTable;
import org.rosemaryfront.tables.StoreVersion;

/**
 * Announces the address of this gateway in the table of gateways, and reads those of the
 * others from it. Until the table has been read once, the gateways that share quotas and
 * connections are unknown: a process that takes itself for the only gateway would grant
 * the whole quota, and so would each of the others.
 */
final class GatewayDirectory implements TableWatch.Listener {

	static final String TABLE = "gateways";

	private static final Duration ANNOUNCE_RETRY_DELAY = Duration.ofSeconds(1);

	private final StoreGenerations rows;

	private final GatewaySettings settings;

	private final PeerExchange peers;

	private final Fleet fleet;

	private final ControlLoop control;

	private final LongConsumer onLoaded;

	private final BurstRow bursts;

	private volatile boolean loaded;

	/**
	 * Creates a directory that contains no other gateway yet.
	 * @param rows the store
	 * @param quotas learns of bursts before the start
	 * @param settings the settings of this gateway
	 * @param peers receives the addresses of other gateways
	 * @param fleet receives the names of gateways that may be serving
	 * @param control the thread that {@code peers} and {@code fleet} are used on
	 * @param onLoaded called on that thread with the current time, in nanoseconds, each
	 * time the whole table has been read
	 */
	GatewayDirectory(StoreGenerations rows, QuotaTable quotas, GatewaySettings settings, PeerExchange peers,
			Fleet fleet, ControlLoop control, LongConsumer onLoaded) {
		this.bursts = new BurstRow(rows, quotas, control::post, settings.bounds().quotaWindowMillis());
		this.rows = rows;
		this.settings = settings;
		this.peers = peers;
		this.fleet = fleet;
		this.control = control;
		this.onLoaded = onLoaded;
	}

	/** Writes the address of this gateway, retrying until the store has accepted it. */
	void announce() {
		String address = Addresses.format(this.settings.peers());
		Commit row = Commit.put(TABLE, this.settings.name(), address.getBytes(StandardCharsets.UTF_8));
		this.rows.commit(row).subscribe((_) -> {
		}, (failure) -> {
			RowLog.failed(this.settings.name(), "write", failure);
			Mono.delay(ANNOUNCE_RETRY_DELAY).subscribe((_) -> announce());
		});
	}

	/**
	 * Returns whether the gateways are known.
	 * @return true once the table has been read
	 */
	boolean isLoaded() {
		return this.loaded;
	}

	BurstRow bursts() {
		return this.bursts;
	}

	// Without its row, this gateway would not be known to those that start from now on.
	@Override
	public void tableRead(List<Row> all, long version) {
		boolean announced = all.stream().anyMatch((row) -> row.key().equals(this.settings.name()));
		if (this.loaded && !announced) {
			EventLog.info(GatewayEvents.ROWS_WRITTEN_AGAIN, "table", TABLE, "generation",
					StoreVersion.generation(version), "rows", 1);
			announce();
		}
		this.control.post((now) -> {
			this.bursts.tableRead(all, version, now);
			all.forEach((row) -> addGateway(row, now));
			this.fleet.gatewaysListed();
			this.loaded = true;
			this.onLoaded.accept(now);
		});
	}

	@Override
	public void rowsChanged(List<Row> changes, long version) {
		this.control.post((now) -> changes.forEach((row) -> rowChanged(row, now)));
	}

	private void rowChanged(Row row, long now) {
		this.bursts.rowChanged(row, now);
		addGateway(row, now);
	}

	private void addGateway(Row row, long now) {
		if (row.value().isEmpty() || BurstRow.isAt(row) || row.key().equals(this.settings.name())) {
			return;
		}
		String address = new String(row.value().get(), StandardCharsets.UTF_8);
		try {
			this.peers.addPeer(row.key(), Addresses.parseRemote(address));
			this.fleet.addGateway(row.key(), now);
		}
		catch (IllegalArgumentException ex) {
			RowLog.unreadable(row.key(), ex);
		}
	}

}
