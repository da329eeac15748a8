package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.gateway.proto.TableRow;
import org.rosemaryfront.gateway.proto.TableRows;
import org.rosemaryfront.ports.RowStore.Transfer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatException;

class PeerTablesTests {

	private static final Duration TEST_TIMEOUT = Duration.ofSeconds(10);

	/** Their sum is longer than the timeout, each of them is shorter. */
	private static final Duration PART_INTERVAL = Duration.ofMillis(50);

	private static final int PARTS = 16;

	private static final TableRows TABLE = TableRows.newBuilder()
		.setVersion(7)
		.addRows(TableRow.newBuilder().setKey("config").setVersion(7).setValue(ByteString.copyFrom(new byte[1_600])))
		.build();

	private final LoopResources loops = LoopResources.create("test", 1, true);

	@AfterEach
	void stop() {
		this.loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
	}

	// Guards against a large table on a narrow link that is thrown away and requested
	// again while it arrives.
	@Test
	void shouldReadTableToItsEndWhilePartsArrive() {
		assertThat(read(Flux.interval(PART_INTERVAL).take(PARTS).map((part) -> part(part.intValue()))))
			.isEqualTo(TABLE);
	}

	// Guards against waiting for the rest of a table that no longer arrives.
	@Test
	void shouldFailWhenNoFurtherPartArrives() {
		assertThatException().isThrownBy(() -> read(Flux.concat(Flux.just(part(0)), Flux.never())))
			.withMessageNotContaining("blocking read");
	}

	private TableRows read(Flux<byte[]> parts) {
		DisposableServer server = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.handle((_, response) -> response.send(parts.map(Unpooled::wrappedBuffer), (_) -> true))
			.bindNow();
		try {
			return new PeerTables(this.loops, List::of)
				.readNewer("op", 1, Optional.of((InetSocketAddress) server.address()), Transfer.UNOBSERVED)
				.block(TEST_TIMEOUT);
		}
		finally {
			server.disposeNow();
		}
	}

	private static byte[] part(int index) {
		byte[] bytes = TABLE.toByteArray();
		int size = (bytes.length + PARTS - 1) / PARTS;
		return Arrays.copyOfRange(bytes, index * size, Math.min(bytes.length, (index + 1) * size));
	}

}
