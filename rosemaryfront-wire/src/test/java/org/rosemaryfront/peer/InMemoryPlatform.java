package org.rosemaryfront.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import reactor.core.publisher.Mono;

import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceCodec;
import org.rosemaryfront.model.ResourceKey;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.platform.PlatformException;
import org.rosemaryfront.platform.TableClient;

/**
 * A table service and a VM list in memory, which can be down.
 */
final class InMemoryPlatform implements TableClient, CloudClient {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private final TreeMap<String, JsonNode> rows = new TreeMap<>();

	private final List<Listed> listed = new CopyOnWriteArrayList<>();

	private volatile boolean down;

	// -- control

	void down(boolean value) {
		this.down = value;
	}

	void list(String vm, String zone, String address) {
		this.listed.add(new Listed(new VmId(vm), "entry", "", zone, address, false));
	}

	synchronized void apply(long revision, List<Resource> changed, List<ResourceKey> deleted) {
		ObjectNode change = MAPPER.createObjectNode().put("transaction", "t" + revision);
		changed.forEach((resource) -> {
			change.withArray("changed").add(resource.key().toString());
			ObjectNode row = MAPPER.createObjectNode().put("revision", revision);
			row.set("declaration", ResourceCodec.write(resource));
			this.rows.put("resource/" + resource.key(), row);
		});
		deleted.forEach((key) -> {
			change.withArray("deleted").add(key.toString());
			this.rows.remove("resource/" + key);
		});
		this.rows.put("change/%012d".formatted(revision), change);
		this.rows.put("head", MAPPER.createObjectNode().put("revision", revision).put("transaction", "t" + revision));
	}

	// -- tables

	@Override
	public Mono<Outcome> commit(Transaction transaction) {
		return Mono.error(new UnsupportedOperationException("peers do not write"));
	}

	@Override
	public Mono<Optional<Row>> read(String table, String key) {
		return answer(() -> Optional.ofNullable(this.rows.get(key)).map((value) -> new Row(table, key, value, 1)));
	}

	@Override
	public Mono<List<Row>> scan(String table, String prefix, String after, int limit) {
		return answer(() -> {
			List<Row> found = new ArrayList<>();
			for (String key : this.rows.tailMap(prefix).keySet()) {
				if (key.startsWith(prefix) && key.compareTo(after) > 0 && found.size() < limit) {
					found.add(new Row(table, key, this.rows.get(key), 1));
				}
			}
			return found;
		});
	}

	private <T> Mono<T> answer(java.util.function.Supplier<T> read) {
		return Mono.defer(() -> {
			if (this.down) {
				return Mono.error(PlatformException.of(Verdict.notRun(), "down", new IllegalStateException("down")));
			}
			synchronized (this) {
				return Mono.just(read.get());
			}
		});
	}

	// -- cloud

	@Override
	public Mono<List<Listed>> vmList() {
		return Mono.fromSupplier(() -> List.copyOf(this.listed));
	}

	@Override
	public Mono<Vm> buy(Purchase purchase) {
		return Mono.error(new UnsupportedOperationException());
	}

	@Override
	public Mono<Void> release(VmId vm) {
		return Mono.error(new UnsupportedOperationException());
	}

	@Override
	public Mono<List<Vm>> vms() {
		return Mono.error(new UnsupportedOperationException());
	}

	@Override
	public Mono<List<Offer>> offers() {
		return Mono.error(new UnsupportedOperationException());
	}

	@Override
	public Mono<List<Notice>> notices(long after) {
		return Mono.error(new UnsupportedOperationException());
	}

}
