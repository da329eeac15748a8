package org.rosemaryfront.crashes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A digest that identifies a request by its content: caller, method, host, target and
 * complete body. The same request has the same digest in every process, whatever its
 * request id and deadline.
 *
 * <p>
 * It is the first half of a SHA-256 hash, so that a caller cannot construct a request
 * with the digest of another one and thereby get the other one refused.
 *
 * @param high the first eight bytes
 * @param low the last eight bytes
 */
public record RequestDigest(long high, long low) implements CrashSuspect {

	/** The length of a digest, in bytes. */
	public static final int BYTES = 16;

	// -- factories

	/**
	 * Creates a builder for the digest of a request whose body has not been received yet.
	 * @param organisation the organisation that sent the request, empty if there is none
	 * @param method the HTTP method
	 * @param host the host, without port, in lower case
	 * @param target the path and query
	 * @return the builder
	 */
	public static Builder begin(String organisation, String method, String host, String target) {
		return new Builder().field(organisation).field(method).field(host).field(target);
	}

	/**
	 * Creates a digest from its bytes.
	 * @param bytes the bytes
	 * @return the digest
	 * @throws IllegalArgumentException if the length is not {@link #BYTES}
	 */
	public static RequestDigest of(byte[] bytes) {
		if (bytes.length != BYTES) {
			throw new IllegalArgumentException("expected a digest of 16 bytes, got " + bytes.length + " bytes");
		}
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		return new RequestDigest(buffer.getLong(), buffer.getLong());
	}

	/**
	 * Parses a digest.
	 * @param text the digest in hexadecimal digits
	 * @return the digest
	 * @throws IllegalArgumentException if the text is not a digest
	 */
	public static RequestDigest parse(String text) {
		return of(HexFormat.of().parseHex(text));
	}

	// -- queries

	/**
	 * Returns the bytes of the digest.
	 * @return a new array
	 */
	public byte[] bytes() {
		return ByteBuffer.allocate(BYTES).putLong(this.high).putLong(this.low).array();
	}

	@Override
	public String toString() {
		return HexFormat.of().formatHex(bytes());
	}

	/** Computes a digest while the body is received. */
	public static final class Builder {

		private final MessageDigest hash = sha256();

		private Builder() {
		}

		// The length prefix keeps requests distinct whose fields have equal
		// concatenations.
		private Builder field(String text) {
			byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
			this.hash.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
			this.hash.update(bytes);
			return this;
		}

		/**
		 * Adds the next bytes of the body.
		 * @param bytes the bytes, which are read to the end of the buffer
		 */
		public void body(ByteBuffer bytes) {
			this.hash.update(bytes);
		}

		/**
		 * Completes the digest at the end of the body.
		 * @return the digest
		 */
		public RequestDigest end() {
			ByteBuffer digestBytes = ByteBuffer.wrap(this.hash.digest());
			return new RequestDigest(digestBytes.getLong(), digestBytes.getLong());
		}

		private static MessageDigest sha256() {
			try {
				return MessageDigest.getInstance("SHA-256");
			}
			catch (NoSuchAlgorithmException ex) {
				throw new IllegalStateException("SHA-256 not available, although every Java platform must support it",
						ex);
			}
		}

	}

}
