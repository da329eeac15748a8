package org.rosemaryfront.crashes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Names a request by what it is: its caller, method, host, target and whole body. The
 * same request has the same digest under any id and deadline, at any process.
 *
 * <p>
 * The first half of a SHA-256, so that nobody can make a request with the digest of
 * another one and have that refused.
 *
 * @param high its first eight bytes
 * @param low its last eight bytes
 */
public record RequestDigest(long high, long low) {

	/** How long a digest is, in bytes. */
	public static final int BYTES = 16;

	// -- factories

	/**
	 * Begins the digest of a request whose body is still to come.
	 * @param organisation whose request it is, empty when nobody's
	 * @param method the method
	 * @param host the host, without port, in lower case
	 * @param target the path with its query
	 * @return the digest under way
	 */
	public static Builder begin(String organisation, String method, String host, String target) {
		return new Builder().field(organisation).field(method).field(host).field(target);
	}

	/**
	 * Reads a digest.
	 * @param bytes its bytes
	 * @return the digest
	 * @throws IllegalArgumentException when there are not as many as a digest has
	 */
	public static RequestDigest of(byte[] bytes) {
		if (bytes.length != BYTES) {
			throw new IllegalArgumentException("a digest of " + bytes.length + " bytes");
		}
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		return new RequestDigest(buffer.getLong(), buffer.getLong());
	}

	/**
	 * Reads a digest from its text.
	 * @param text hexadecimal digits
	 * @return the digest
	 * @throws IllegalArgumentException when it is none
	 */
	public static RequestDigest parse(String text) {
		return of(HexFormat.of().parseHex(text));
	}

	// -- queries

	/**
	 * The bytes of the digest.
	 * @return a new array
	 */
	public byte[] bytes() {
		return ByteBuffer.allocate(BYTES).putLong(this.high).putLong(this.low).array();
	}

	@Override
	public String toString() {
		return HexFormat.of().formatHex(bytes());
	}

	/** A digest that grows with the body. */
	public static final class Builder {

		private final MessageDigest hash = sha256();

		private Builder() {
		}

		// With its length in front: fields cannot be shifted into one another.
		private Builder field(String text) {
			byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
			this.hash.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
			this.hash.update(bytes);
			return this;
		}

		/**
		 * Takes a piece of the body.
		 * @param bytes the bytes, which are read to their end
		 */
		public void body(ByteBuffer bytes) {
			this.hash.update(bytes);
		}

		/**
		 * Ends the body.
		 * @return the digest
		 */
		public RequestDigest end() {
			ByteBuffer whole = ByteBuffer.wrap(this.hash.digest());
			return new RequestDigest(whole.getLong(), whole.getLong());
		}

		private static MessageDigest sha256() {
			try {
				return MessageDigest.getInstance("SHA-256");
			}
			catch (NoSuchAlgorithmException ex) {
				throw new IllegalStateException("every Java platform has SHA-256", ex);
			}
		}

	}

}
