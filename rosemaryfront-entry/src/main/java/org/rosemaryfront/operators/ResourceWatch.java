package org.rosemaryfront.operators;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.node.ObjectNode;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.rosemaryfront.configuration.ChangeRecord;
import org.rosemaryfront.configuration.ConfigurationStore;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceKey;
import org.rosemaryfront.model.RosemaryException;

/**
 * One operator's watch of the configuration.
 *
 * <p>
 * The changes since the operator's revision come from the change log; later ones from the
 * configuration in force in this entry, which costs the store nothing. A bookmark follows
 * each complete revision, so an operator that resumes from its last bookmark misses
 * nothing.
 */
final class ResourceWatch {

	/** How often the configuration in force is looked at. */
	private static final Duration POLL = Duration.ofMillis(50);

	/** After how many looks without a change a bookmark is sent: one second. */
	private static final int IDLE_POLLS = 20;

	private final ConfigurationStore store;

	private final OperatorView view;

	private Configuration last = Configuration.empty();

	private int idle;

	private ResourceWatch(ConfigurationStore store, OperatorView view) {
		this.store = store;
		this.view = view;
	}

	/**
	 * Watches the configuration.
	 * @param store the declared configuration
	 * @param view the configuration in force
	 * @param since the revision after which to begin, empty for the one in force
	 * @return events and bookmarks without end; an error of {@link RosemaryException}
	 * before the first of them when the watch cannot begin
	 */
	static Mono<Flux<ObjectNode>> start(ConfigurationStore store, OperatorView view, OptionalLong since) {
		ResourceWatch watch = new ResourceWatch(store, view);
		return watch.catchUp(since)
			.map((first) -> Flux.concat(Flux.fromIterable(first),
					Flux.interval(POLL)
						.onBackpressureDrop()
						.concatMap((_) -> watch.poll())
						.concatMapIterable((found) -> found)));
	}

	private Mono<List<ObjectNode>> catchUp(OptionalLong since) {
		Configuration inForce = this.view.inForce();
		if (since.isEmpty() || since.getAsLong() == inForce.revision()) {
			this.last = inForce;
			return Mono.just(List.of(OperatorDocuments.bookmark(inForce.revision())));
		}
		return this.store.changesSince(since.getAsLong()).flatMap((changes) -> this.store.read().map((declared) -> {
			if (changes.isEmpty()) {
				throw tooOld(since.getAsLong(), declared.revision());
			}
			if (since.getAsLong() > declared.revision()) {
				throw RosemaryException
					.of(Problem.notRun(ProblemCode.BAD_REQUEST, "since: the last revision is " + declared.revision()));
			}
			this.last = declared;
			return events(changes.get(), since.getAsLong(), declared);
		}));
	}

	private static RosemaryException tooOld(long since, long revision) {
		return RosemaryException.of(Problem.notRun(ProblemCode.REVISION_TOO_OLD, "the changes since revision " + since
				+ " are not kept any more; read all resources and watch from revision " + revision));
	}

	// -- events

	private static List<ObjectNode> events(List<ChangeRecord> changes, long since, Configuration declared) {
		List<ObjectNode> events = new ArrayList<>();
		for (ChangeRecord change : changes) {
			if (change.revision() <= declared.revision()) {
				change.changed().forEach((key) -> events.add(changed(change.revision(), key, declared)));
				change.deleted()
					.forEach((key) -> events
						.add(OperatorDocuments.event(change.revision(), key, "deleted", Optional.empty())));
				events.add(OperatorDocuments.bookmark(change.revision()));
			}
		}
		if (declared.revision() == since) {
			events.add(OperatorDocuments.bookmark(since));
		}
		return events;
	}

	private static ObjectNode changed(long revision, ResourceKey key, Configuration declared) {
		return OperatorDocuments.event(revision, key, "changed", Optional.ofNullable(declared.resources().get(key)));
	}

	private Mono<List<ObjectNode>> poll() {
		Configuration now = this.view.inForce();
		Configuration before = this.last;
		if (now.revision() > before.revision()) {
			this.last = now;
			this.idle = 0;
			return (now.revision() == before.revision() + 1) ? Mono.just(differences(before, now))
					: skipped(before, now);
		}
		this.idle++;
		if (this.idle < IDLE_POLLS) {
			return Mono.just(List.of());
		}
		this.idle = 0;
		return Mono.just(List.of(OperatorDocuments.bookmark(before.revision())));
	}

	// Several revisions can come into force at once. Two configurations do not tell at
	// which of them a resource was deleted; the change log does, when it can be read.
	private Mono<List<ObjectNode>> skipped(Configuration before, Configuration now) {
		return this.store.changesSince(before.revision())
			.map((changes) -> changes.map((found) -> events(found, before.revision(), now))
				.orElseGet(() -> differences(before, now)))
			.onErrorResume(RosemaryException.class, (_) -> Mono.fromSupplier(() -> differences(before, now)));
	}

	private static List<ObjectNode> differences(Configuration before, Configuration now) {
		List<ObjectNode> events = new ArrayList<>();
		before.resources()
			.keySet()
			.stream()
			.filter((key) -> !now.resources().containsKey(key))
			.forEach((key) -> events.add(OperatorDocuments.event(now.revision(), key, "deleted", Optional.empty())));
		List<Resource.Versioned> changed = now.resources()
			.values()
			.stream()
			.filter((versioned) -> versioned.version() > before.revision())
			.sorted((left, right) -> Long.compare(left.version(), right.version()))
			.toList();
		for (Resource.Versioned versioned : changed) {
			events.add(OperatorDocuments.event(versioned.version(), versioned.resource().key(), "changed",
					Optional.of(versioned)));
		}
		events.add(OperatorDocuments.bookmark(now.revision()));
		return events;
	}

}
