package org.rosemaryfront.traffic;

import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;

import org.rosemaryfront.limits.ServerStatements;
import org.rosemaryfront.ports.CallCodec;
import org.rosemaryfront.ports.CallMetadata;
import org.rosemaryfront.ports.ForwardingMetadata;
import org.rosemaryfront.ports.ResponseMetadata;

/** Neither reads nor sets any header. */
final class NoHeaders implements CallCodec {

	@Override
	public CallMetadata callMetadata(HttpHeaders headers) {
		return new CallMetadata("", OptionalLong.empty(), Optional.empty(), Optional.empty(), Optional.empty());
	}

	@Override
	public void toServerHeaders(HttpHeaders headers, ForwardingMetadata metadata) {
	}

	@Override
	public ResponseMetadata responseMetadata(int status, HttpHeaders headers) {
		return new ResponseMetadata("", true, false, ServerStatements.unknown());
	}

	@Override
	public void toCallerHeaders(HttpHeaders headers) {
	}

	@Override
	public void toCallerRequest(HttpHeaders headers, CallMetadata metadata) {
	}

	@Override
	public void toServerResponse(HttpHeaders headers, String requestId) {
	}

}
