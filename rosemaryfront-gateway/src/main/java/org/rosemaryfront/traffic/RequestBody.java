package org.rosemaryfront.traffic;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

import org.rosemaryfront.crashes.RequestDigest;

/**
 * The body of a request, buffered until the call is sent and as long as it may be sent
 * again. Confined to the traffic thread, except where stated.
 */
final class RequestBody {

	/**
	 * The maximum number of bytes that are buffered before the call is sent. Buffering
	 * keeps slow callers from occupying a slot of a server and allows the call to be sent
	 * again. Longer bodies are streamed.
	 */
	private static final int MAX_BUFFERED_BYTES = 262_144;

	private final BodyBuffer buffer;

	private final RequestDigest.Builder digestBuilder;

	private long bytes;

	private boolean complete;

	/** Set when the body is complete; read by any thread. */
	private volatile Optional<RequestDigest> digest = Optional.empty();

	private RequestBody(BodyBuffer buffer, RequestDigest.Builder digestBuilder) {
		this.buffer = buffer;
		this.digestBuilder = digestBuilder;
	}

	/**
	 * Creates a body of which nothing was received.
	 * @param allocator allocates the buffer
	 * @param digestBuilder the digest of the request so far
	 * @return the body
	 */
	static RequestBody of(ByteBufAllocator allocator, RequestDigest.Builder digestBuilder) {
		return new RequestBody(new BodyBuffer(allocator), digestBuilder);
	}

	/**
	 * Records bytes of the body, which are not consumed.
	 * @param received the bytes
	 */
	void received(ByteBuf received) {
		this.bytes += received.readableBytes();
		for (ByteBuffer chunk : received.nioBuffers()) {
			this.digestBuilder.body(chunk);
		}
	}

	/**
	 * Buffers bytes of the body.
	 * @param received the bytes, which are released
	 */
	void buffer(ByteBuf received) {
		this.buffer.add(received);
	}

	/** Called when the body is complete. */
	void complete() {
		this.complete = true;
		this.digest = Optional.of(this.digestBuilder.end());
	}

	boolean isComplete() {
		return this.complete;
	}

	/**
	 * Returns whether the call is to be sent before its body is complete.
	 * @return true from the maximum number of buffered bytes on
	 */
	boolean isLong() {
		return this.bytes >= MAX_BUFFERED_BYTES;
	}

	long bytes() {
		return this.bytes;
	}

	/**
	 * Returns the digest of the request, on any thread.
	 * @return the digest, empty while the body is not complete
	 */
	Optional<RequestDigest> digest() {
		return this.digest;
	}

	List<ByteBuf> duplicates() {
		return this.buffer.duplicates();
	}

	/**
	 * Returns the memory that is held of the body.
	 * @return the number of bytes
	 */
	long heldBytes() {
		return this.buffer.capacity();
	}

	void release() {
		this.buffer.release();
	}

}
