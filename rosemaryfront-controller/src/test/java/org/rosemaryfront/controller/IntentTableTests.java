package org.rosemaryfront.controller;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.platform.PlatformException;
import org.rosemaryfront.platform.TableClient;
import org.rosemaryfront.standin.platform.Fault;
import org.rosemaryfront.standin.platform.InMemoryPlatform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class IntentTableTests {

	private final InMemoryPlatform platform = Fixtures.platform();

	private final IntentTable intents = IntentTable.of(this.platform);

	// An operator sees a purchase stand still: the intent's write took effect, its answer
	// was lost, and the repeat meets the row of the first one.
	@Test
	void shouldSucceedWhenWriteIsRepeatedAfterLostAnswer() {
		long fence = takeFence(1);
		this.platform.begin(Fault.of(Fault.Kind.LOST_ANSWER, Fault.FOR_GOOD).onTable(IntentTable.TABLE));
		assertThatExceptionOfType(PlatformException.class)
			.isThrownBy(() -> this.intents.write(Fixtures.intent("f1-1"), fence).block());
		this.platform.clearFaults();
		assertThat(this.intents.write(Fixtures.intent("f1-1"), fence).block()).isEqualTo(IntentTable.Written.DONE);
		assertThat(this.intents.all().block()).containsExactly(Fixtures.intent("f1-1"));
	}

	// A VM is bought that nobody wants: a holder that was paused past its lease writes an
	// intent after its successor has read all of them. The write must have no effect.
	@Test
	void shouldWriteNothingWhenSuccessorTookOver() {
		long old = takeFence(1);
		this.intents.write(Fixtures.intent("f1-1"), old).block();
		takeFence(2);
		assertThat(this.intents.write(Fixtures.intent("f1-2"), old).block()).isEqualTo(IntentTable.Written.OVERTAKEN);
		assertThat(this.intents.delete("f1-1", old).block()).isEqualTo(IntentTable.Written.OVERTAKEN);
		assertThat(this.intents.all().block()).containsExactly(Fixtures.intent("f1-1"));
	}

	@Test
	void shouldSucceedWhenDeleteIsRepeated() {
		long fence = takeFence(1);
		this.intents.write(Fixtures.intent("f1-1"), fence).block();
		assertThat(this.intents.delete("f1-1", fence).block()).isEqualTo(IntentTable.Written.DONE);
		assertThat(this.intents.delete("f1-1", fence).block()).isEqualTo(IntentTable.Written.DONE);
		assertThat(this.intents.all().block()).isEmpty();
	}

	@Test
	void shouldReadAllWhenIntentsFillSeveralPages() {
		List<TableClient.Write> writes = java.util.stream.IntStream.range(0, 450)
			.mapToObj((i) -> new TableClient.Write(IntentTable.TABLE, "f1-" + i,
					Optional.of(JsonNodeFactory.instance.objectNode()
						.put("pool", Fixtures.POOL)
						.put("zone", Fixtures.ZONE)
						.put("machineClass", Fixtures.MACHINE_CLASS)
						.put("market", "RECLAIMABLE"))))
			.toList();
		for (int i = 0; i < writes.size(); i += 50) {
			this.platform.commit(new TableClient.Transaction(List.of(), writes.subList(i, i + 50))).block();
		}
		assertThat(this.intents.all().block()).hasSize(450).doesNotHaveDuplicates().contains(Fixtures.intent("f1-449"));
	}

	private long takeFence(long fence) {
		this.platform
			.commit(new TableClient.Transaction(List.of(), List.of(new TableClient.Write(LeaseTable.TABLE,
					LeaseTable.FENCE_ROW, Optional.of(JsonNodeFactory.instance.objectNode().put("fence", fence))))))
			.block();
		return LeaseTable.of(this.platform).fenceVersion(fence).block().orElseThrow();
	}

}
