package org.rosemaryfront.traffic;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class BodyBufferTests {

	private static final int BODY_BYTES = 100_000;

	private final BodyBuffer buffer = new BodyBuffer(UnpooledByteBufAllocator.DEFAULT);

	// Guards against chunks of few bytes that each keep an object and the buffer that
	// they were received in.
	@ParameterizedTest
	@ValueSource(ints = { 1, 7, 16, 1_000, 16_384, 70_000 })
	void shouldTakeAboutItsBytesWhateverTheSizeOfChunks(int chunkBytes) {
		String body = "0123456789".repeat(BODY_BYTES / 10);
		ByteBuf received = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
		while (received.isReadable()) {
			this.buffer.add(received.readRetainedSlice(Math.min(chunkBytes, received.readableBytes())));
		}
		assertThat(received.refCnt()).isEqualTo(1);
		assertThat(this.buffer.size()).isEqualTo(BODY_BYTES);
		assertThat(this.buffer.capacity()).isBetween((long) BODY_BYTES, BODY_BYTES * 5L / 4);
		assertThat(text(this.buffer.duplicates())).isEqualTo(body);
		assertThat(text(this.buffer.takeAll())).isEqualTo(body);
		assertThat(this.buffer.capacity()).isZero();
		received.release();
	}

	@Test
	void shouldTakeLittleWhenBodyIsShort() {
		this.buffer.add(Unpooled.copiedBuffer("x".repeat(100), StandardCharsets.UTF_8));
		assertThat(this.buffer.capacity()).isEqualTo(100);
		this.buffer.release();
	}

	private static String text(List<ByteBuf> blocks) {
		ByteBuf all = Unpooled.wrappedBuffer(blocks.toArray(ByteBuf[]::new));
		String text = all.toString(StandardCharsets.UTF_8);
		all.release();
		return text;
	}

}
