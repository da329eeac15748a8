package org.rosemaryfront.streams;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import org.rosemaryfront.crashes.RequestDigest;

/**
 * Identifies a stream at all gateways, by the call that brought its first event or by its
 * request: the first half of a SHA-256 hash.
 *
 * @param high the first eight bytes
 * @param low the last eight bytes
 */
public record StreamKey(long high, long low) {

	/**
	 * Creates the key of a stream of which the first call is known.
	 * @param organisation the organisation of its caller, empty where callers need no key
	 * @param service the service that serves it
	 * @param firstCall the identifier of the call that brought its first event
	 * @return the key
	 */
	public static StreamKey of(String organisation, String service, String firstCall) {
		return ofFields("call", organisation, service, firstCall);
	}

	/**
	 * Creates the key of all streams with the same request, which callers repeat when
	 * they take a stream up.
	 * @param service the service that serves it
	 * @param request the digest of the request, its organisation included
	 * @return the key
	 */
	public static StreamKey ofRequest(String service, RequestDigest request) {
		return ofFields("request", service, request.toString());
	}

	private static StreamKey ofFields(String... fields) {
		try {
			MessageDigest hash = MessageDigest.getInstance("SHA-256");
			for (String field : fields) {
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
