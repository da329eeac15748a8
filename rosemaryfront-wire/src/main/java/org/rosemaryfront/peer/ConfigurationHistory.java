package org.rosemaryfront.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Kind;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceCodec;
import org.rosemaryfront.model.ResourceKey;
import org.rosemaryfront.peer.proto.ConfigurationReply;
import org.rosemaryfront.peer.proto.ResourceRecord;

/**
 * The configuration in force with the resources that lately left it, so that a peer is
 * sent only what changed after the revision that it knows. Immutable.
 */
final class ConfigurationHistory {

	/** Deletions remembered; a peer that is further behind gets the whole. */
	private static final int MAX_DELETIONS = 256;

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private final Configuration configuration;

	private final Deque<Deletion> deletions;

	private final long completeSince;

	private ConfigurationHistory(Configuration configuration, Deque<Deletion> deletions, long completeSince) {
		this.configuration = configuration;
		this.deletions = deletions;
		this.completeSince = completeSince;
	}

	// -- factories

	static ConfigurationHistory empty() {
		return new ConfigurationHistory(Configuration.empty(), new ArrayDeque<>(), 0);
	}

	// -- changes

	/**
	 * The history after a configuration came into force.
	 * @param next the configuration
	 * @return the changed history
	 */
	ConfigurationHistory with(Configuration next) {
		if (this.configuration.revision() == 0) {
			return new ConfigurationHistory(next, new ArrayDeque<>(), next.revision());
		}
		Deque<Deletion> kept = new ArrayDeque<>(this.deletions);
		this.configuration.resources()
			.keySet()
			.stream()
			.filter((key) -> !next.resources().containsKey(key))
			.forEach((key) -> kept.add(new Deletion(key, next.revision())));
		long since = this.completeSince;
		while (kept.size() > MAX_DELETIONS) {
			since = kept.remove().revision();
		}
		return new ConfigurationHistory(next, kept, since);
	}

	// -- queries

	Configuration configuration() {
		return this.configuration;
	}

	/**
	 * The answer to a peer.
	 * @param knownRevision the revision that the peer has in force
	 * @return the changes after it, or the whole configuration
	 */
	ConfigurationReply reply(long knownRevision) {
		ConfigurationReply.Builder reply = ConfigurationReply.newBuilder().setRevision(this.configuration.revision());
		if (knownRevision >= this.configuration.revision()) {
			return reply.setUnchanged(true).build();
		}
		long since = (knownRevision > 0 && knownRevision >= this.completeSince) ? knownRevision : 0;
		this.configuration.resources()
			.values()
			.stream()
			.filter((versioned) -> versioned.version() > since || since == 0)
			.forEach((versioned) -> reply.addResources(encode(versioned)));
		if (since > 0) {
			this.deletions.stream()
				.filter((deletion) -> deletion.revision() > since
						&& !this.configuration.resources().containsKey(deletion.key()))
				.forEach((deletion) -> reply.addDeleted(deletion.key().toString()));
		}
		return reply.setSince(since).build();
	}

	/**
	 * The configuration that a reply describes.
	 * @param reply the reply
	 * @return the configuration; the one in force when the reply tells only changes after
	 * a revision that is not known here
	 */
	Configuration merged(ConfigurationReply reply) {
		if (reply.getUnchanged() || reply.getSince() > this.configuration.revision()) {
			return this.configuration;
		}
		TreeMap<ResourceKey, Resource.Versioned> resources = new TreeMap<>();
		if (reply.getSince() > 0) {
			resources.putAll(this.configuration.resources());
			reply.getDeletedList().forEach((key) -> parse(key).ifPresent(resources::remove));
		}
		List<Resource.Versioned> changed = reply.getResourcesList().stream().map(ConfigurationHistory::decode).toList();
		changed.forEach((versioned) -> resources.put(versioned.resource().key(), versioned));
		return Configuration.of(reply.getRevision(), resources.values());
	}

	// -- codec

	static Optional<ResourceKey> parse(String key) {
		int slash = key.indexOf('/');
		return Kind.ofLabel(key.substring(0, Math.max(0, slash)))
			.map((kind) -> new ResourceKey(kind, key.substring(slash + 1)));
	}

	private static ResourceRecord encode(Resource.Versioned versioned) {
		return ResourceRecord.newBuilder()
			.setDeclaration(ResourceCodec.write(versioned.resource()).toString())
			.setVersion(versioned.version())
			.build();
	}

	private static Resource.Versioned decode(ResourceRecord record) {
		try {
			return new Resource.Versioned(ResourceCodec.read(MAPPER.readTree(record.getDeclaration())),
					record.getVersion());
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("a peer sent a declaration that is no JSON", ex);
		}
	}

	private record Deletion(ResourceKey key, long revision) {
	}

}
