package org.rosemaryfront.streams;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies a stream at all gateways: the first half of a SHA-256 hash of organisation,
 * service and the call that brought its first event.
 *
 * @param high the first eight bytes
 * @param low the last eight bytes
 */
public record StreamKey(long high, long low) {

	/**
	 * Creates the key of a stream.
	 * @param organisation the organisation of its caller, empty where callers need no key
	 * @param service the service that serves it
	 * @param firstCall the identifier of the call that brought its first event
	 * @return the key
	 */
	public static StreamKey of(String organisation, String service, String firstCall) {
		try {
			MessageDigest hash = MessageDigest.getInstance("SHA-256");
			for (String field : new String[] { organisation, service, firstCall }) {
				byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
				hash.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
				hash.update(bytes);
			}
			ByteBuffer digest = ByteBuffer.wrap(hash.digest());
			return new StreamKey(digest.getLong(), digest.getLong());
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
