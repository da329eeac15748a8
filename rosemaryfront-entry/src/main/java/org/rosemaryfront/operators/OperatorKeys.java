package org.rosemaryfront.operators;

import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import org.rosemaryfront.keys.Sha256;

/**
 * The keys that operators prove themselves with; only their hashes are known.
 */
final class OperatorKeys {

	private static final String SCHEME = "Bearer ";

	/** How much of a hash names the operator in logs. */
	private static final int LABEL_LENGTH = 8;

	private final List<byte[]> hashes;

	private OperatorKeys(List<byte[]> hashes) {
		this.hashes = hashes;
	}

	static OperatorKeys of(List<String> keyHashes) {
		return new OperatorKeys(keyHashes.stream().map(HexFormat.of()::parseHex).toList());
	}

	/**
	 * Finds the operator behind an {@code Authorization} header. All hashes are compared
	 * in constant time, so that the time of a refusal tells nothing about a key.
	 * @param header the header, null when the request has none
	 * @return the first digits of the hash of the operator's key, empty for an unknown
	 * key
	 */
	Optional<String> operator(String header) {
		if (header == null || !header.startsWith(SCHEME)) {
			return Optional.empty();
		}
		byte[] hash = Sha256.bytes(header.substring(SCHEME.length()));
		boolean known = false;
		for (byte[] candidate : this.hashes) {
			known |= MessageDigest.isEqual(candidate, hash);
		}
		return known ? Optional.of(HexFormat.of().formatHex(hash).substring(0, LABEL_LENGTH)) : Optional.empty();
	}

}
