package org.rosemaryfront.platform;

import java.util.Optional;

import reactor.core.publisher.Mono;

/**
 * The platform's object store; docs/INTERFACES.md gives the protocol.
 */
public interface ObjectClient {

	/**
	 * Deletes an object; idempotent.
	 * @param bucket the bucket
	 * @param key the key
	 * @return when the object is gone; an error of {@link PlatformException}
	 */
	Mono<Void> deleteObject(String bucket, String key);

	/**
	 * Reads an object.
	 * @param bucket the bucket
	 * @param key the key
	 * @return the content, empty when there is none; an error of
	 * {@link PlatformException}
	 */
	Mono<Optional<byte[]>> getObject(String bucket, String key);

	/**
	 * Writes an object whole; idempotent.
	 * @param bucket the bucket
	 * @param key the key
	 * @param content the content
	 * @return when the object stands; an error of {@link PlatformException}
	 */
	Mono<Void> putObject(String bucket, String key, byte[] content);

}
