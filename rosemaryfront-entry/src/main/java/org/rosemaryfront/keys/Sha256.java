package org.rosemaryfront.keys;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 as keys of callers, operators and claims are kept.
 */
public final class Sha256 {

	private Sha256() {
	}

	/**
	 * Hashes a text.
	 * @param text the text, hashed as UTF-8
	 * @return the hash in lower case hexadecimal
	 */
	public static String hex(String text) {
		return HexFormat.of().formatHex(bytes(text));
	}

	/**
	 * Hashes a text.
	 * @param text the text, hashed as UTF-8
	 * @return the 32 bytes of the hash
	 */
	public static byte[] bytes(String text) {
		return digest().digest(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * A digest to be fed in parts.
	 * @return the digest without any input
	 */
	public static MessageDigest digest() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			// Every Java platform has to have it.
			throw new IllegalStateException(ex);
		}
	}

}
