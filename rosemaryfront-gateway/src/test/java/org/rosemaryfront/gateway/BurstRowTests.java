package org.rosemaryfront.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.quota.QuotaTable;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.tables.StoreVersion;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the row that lists the organisations that may use a large burst. */
class BurstRowTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final Organisation SFAX = new Organisation("sfax", List.of("k"), OptionalInt.empty(), 100, 200,
			Organisation.QuotaUnit.REQUESTS, 1);

	private final BlockingQueue<Consumer<Long>> tasks = new LinkedBlockingQueue<>();

	private final MemoryRowStore store = new MemoryRowStore();

	private final StoreGenerations generations = new StoreGenerations(this.store);

	private final QuotaTable quotas = new QuotaTable(8_000, 0, 0, () -> 0.5);

	private final BurstRow row = new BurstRow(this.generations, this.quotas, this.tasks::add, 8_000);

	@Test
	void shouldAllowLargeBurstOnlyWhenItIsInStore() throws InterruptedException {
		this.generations.observe(0);
		this.row.tableRead(List.of(), 0, 0);
		assertThat(taken(10 * SECOND)).isEqualTo(200);
		this.row.writeDue(List.of(SFAX), 10 * SECOND);
		assertThat(taken(10 * SECOND)).isZero();
		this.tasks.take().accept(10 * SECOND);
		assertThat(this.store.rows(GatewayDirectory.TABLE)).hasSize(1);
		assertThat(taken(10 * SECOND)).isEqualTo(200);
	}

	// Guards against the kill of all processes in a large burst.
	@Test
	void shouldAdmitLittleWhenRowListsOrganisationAtStart() {
		this.row.tableRead(List.of(row("~bursts", 1)), 1, 0);
		assertThat(taken(3 * SECOND)).isEqualTo(60);
	}

	// Guards against a kill of all processes right behind a restore of the store, which
	// lost the row.
	@Test
	void shouldAdmitLittleWhenStoreWasRestoredBeforeStart() {
		long version = StoreVersion.of(1, 5);
		this.row.tableRead(List.of(row("~bursts", StoreVersion.of(1, 4))), version, 0);
		assertThat(taken(3 * SECOND)).isEqualTo(60);
	}

	@Test
	void shouldAdmitAsUsualWhenNoBurstWasEverListed() {
		this.row.tableRead(List.of(), 1, 0);
		assertThat(taken(3 * SECOND)).isEqualTo(200);
	}

	private static Row row(String key, long version) {
		return new Row(key, Optional.of("{\"sfax\":1}".getBytes(StandardCharsets.UTF_8)), version);
	}

	private int taken(long now) {
		int taken = 0;
		while (this.quotas.take(SFAX, 1, now).waitMillis() == 0) {
			taken++;
		}
		return taken;
	}

}
