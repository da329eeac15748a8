package org.rosemaryfront.traffic;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

import org.rosemaryfront.ports.ResponseMetadata;

/** Records what is received of a response. */
final class RecordedResponse implements ResponseListener {

	private final List<String> events;

	RecordedResponse(List<String> events) {
		this.events = events;
	}

	@Override
	public void responseHead(HttpResponse head, ResponseMetadata terms) {
	}

	@Override
	public void responseBytes(ByteBuf bytes) {
		this.events.add(bytes.toString(StandardCharsets.UTF_8));
		bytes.release();
	}

	@Override
	public void responseComplete() {
		this.events.add("complete");
	}

	@Override
	public void responseReadComplete() {
	}

	@Override
	public void responseFailed(String cause) {
		this.events.add("failed");
	}

	@Override
	public void pathLost() {
	}

	@Override
	public void requestWritable() {
	}

}
