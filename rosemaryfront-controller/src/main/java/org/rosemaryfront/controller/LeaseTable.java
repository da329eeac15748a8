package org.rosemaryfront.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import reactor.core.publisher.Mono;

import org.rosemaryfront.lease.LeaseCommand;
import org.rosemaryfront.lease.LeaseEvent;
import org.rosemaryfront.lease.LeaseRowCodec;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.platform.PlatformException;
import org.rosemaryfront.platform.TableClient;

/**
 * The lease in the table service. A take-over also writes the row {@code lease/fence},
 * which renewals leave alone, so that other writes can be made conditional on the fencing
 * number without conflicting with renewals.
 */
final class LeaseTable {

	static final String TABLE = "lease";

	static final String ROW = "controller";

	static final String FENCE_ROW = "fence";

	private final TableClient tables;

	private LeaseTable(TableClient tables) {
		this.tables = tables;
	}

	static LeaseTable of(TableClient tables) {
		return new LeaseTable(Objects.requireNonNull(tables, "tables is null"));
	}

	// Carries out a command; always ends with an event.
	Mono<LeaseEvent> execute(LeaseCommand command) {
		return switch (command) {
			case LeaseCommand.Read read -> read(read);
			case LeaseCommand.Write write -> write(write);
		};
	}

	// The version of the fence row while it shows the given number, empty when another
	// holder changed it.
	Mono<Optional<Long>> fenceVersion(long fence) {
		return this.tables.read(TABLE, FENCE_ROW)
			.map((row) -> row.filter((found) -> found.value().path("fence").asLong() == fence)
				.map(TableClient.Row::version));
	}

	private Mono<LeaseEvent> read(LeaseCommand.Read read) {
		return this.tables.read(TABLE, ROW)
			.<LeaseEvent>map((row) -> new LeaseEvent.RowRead(read.number(),
					row.map((found) -> LeaseRowCodec.read(found.value())),
					row.map(TableClient.Row::version).orElse(0L)))
			.onErrorReturn(new LeaseEvent.ReadFailed(read.number()));
	}

	private Mono<LeaseEvent> write(LeaseCommand.Write write) {
		String token = write.row().token();
		List<TableClient.Write> writes = new ArrayList<>();
		writes.add(new TableClient.Write(TABLE, ROW, Optional.of(LeaseRowCodec.write(write.row()))));
		if (write.takeOver()) {
			JsonNode fence = JsonNodeFactory.instance.objectNode().put("fence", write.row().fence());
			writes.add(new TableClient.Write(TABLE, FENCE_ROW, Optional.of(fence)));
		}
		TableClient.Condition unchanged = new TableClient.Condition(TABLE, ROW, write.version());
		return this.tables.commit(new TableClient.Transaction(List.of(unchanged), writes))
			.<LeaseEvent>map((outcome) -> switch (outcome) {
				case TableClient.Outcome.Committed committed ->
					new LeaseEvent.WriteCommitted(token, committed.versions().getFirst());
				case TableClient.Outcome.Conflict _ -> new LeaseEvent.WriteRejected(token);
			})
			.onErrorResume((failure) -> Mono
				.just(isNotRun(failure) ? new LeaseEvent.WriteRejected(token) : new LeaseEvent.WriteUnknown(token)));
	}

	private static boolean isNotRun(Throwable failure) {
		return failure instanceof PlatformException known && known.verdict() instanceof Verdict.NotRun;
	}

}
