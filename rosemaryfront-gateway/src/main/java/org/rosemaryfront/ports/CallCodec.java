package org.rosemaryfront.ports;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Translates between HTTP headers and the metadata that callers, the gateway and backend
 * servers exchange about a call.
 */
public interface CallCodec {

	/**
	 * Reads the metadata of a caller's request.
	 * @param headers the headers of the request
	 * @return the metadata; a value that cannot be parsed is treated as absent
	 */
	CallMetadata callMetadata(HttpHeaders headers);

	/**
	 * Converts the caller's headers into those sent to a backend server: removes the
	 * caller's key and all headers that only the gateway may set, then sets the gateway's
	 * own.
	 * @param headers a copy of the caller's headers, changed in place
	 * @param metadata the values that the gateway sets
	 */
	void toServerHeaders(HttpHeaders headers, ForwardingMetadata metadata);

	/**
	 * Reads the metadata of a backend server's response.
	 * @param status the status of the response
	 * @param headers the headers of the response
	 * @return the metadata
	 */
	ResponseMetadata responseMetadata(int status, HttpHeaders headers);

	/**
	 * Removes the headers that are internal to the system from a response to a caller.
	 * @param headers the headers of the response, changed in place
	 */
	void toCallerHeaders(HttpHeaders headers);

	/**
	 * Writes the metadata of a call as a caller does.
	 * @param headers the headers of the request, changed in place
	 * @param metadata the metadata, without a resumption
	 */
	void toCallerRequest(HttpHeaders headers, CallMetadata metadata);

	/**
	 * Writes the headers of a success as a backend server does.
	 * @param headers the headers of the response, changed in place
	 * @param requestId identifies the call
	 */
	void toServerResponse(HttpHeaders headers, String requestId);

}
