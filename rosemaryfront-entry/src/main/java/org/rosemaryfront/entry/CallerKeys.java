package org.rosemaryfront.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;

import org.rosemaryfront.keys.Sha256;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource.Organisation;

/**
 * Finds the organisation of a bearer key. Only hashes of keys are kept.
 */
final class CallerKeys {

	private static final String SCHEME = "Bearer ";

	private static final int GREATEST_KEY_LENGTH = 512;

	private final List<Entry> entries;

	private CallerKeys(List<Entry> entries) {
		this.entries = entries;
	}

	/**
	 * The keys of a configuration.
	 * @param configuration the configuration in force
	 * @return the keys
	 */
	static CallerKeys of(Configuration configuration) {
		return new CallerKeys(configuration.all(Organisation.class)
			.flatMap((organisation) -> organisation.keyHashes()
				.stream()
				.map((hash) -> new Entry(hash.getBytes(StandardCharsets.US_ASCII), organisation)))
			.toList());
	}

	/**
	 * Finds the organisation. Compares with every hash in constant time, so that the time
	 * of the answer tells nothing of the keys.
	 * @param authorization the value of the header, null when absent
	 * @return the organisation, empty when the key is absent or belongs to nobody
	 */
	Optional<Organisation> organisation(String authorization) {
		if (authorization == null || authorization.length() > GREATEST_KEY_LENGTH
				|| !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return Optional.empty();
		}
		byte[] hash = hash(authorization.substring(SCHEME.length()).strip()).getBytes(StandardCharsets.US_ASCII);
		Organisation found = null;
		for (Entry entry : this.entries) {
			if (MessageDigest.isEqual(entry.hash(), hash)) {
				found = entry.organisation();
			}
		}
		return Optional.ofNullable(found);
	}

	/**
	 * Hashes a key as the configuration holds it.
	 * @param key the key
	 * @return the SHA-256 hash in lower case hexadecimal
	 */
	static String hash(String key) {
		return Sha256.hex(key);
	}

	private record Entry(byte[] hash, Organisation organisation) {
	}

}
