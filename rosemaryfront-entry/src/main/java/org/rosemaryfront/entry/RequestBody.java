package org.rosemaryfront.entry;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.TimeoutException;

import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.RosemaryException;

/**
 * Reads request bodies within their limits of size and time.
 */
final class RequestBody {

	private RequestBody() {
	}

	/**
	 * Reads a body.
	 *
	 * <p>
	 * Guards against bodies sent by half: the caller's host is gone or sends a byte now
	 * and then, and the request would hold its memory for good. Nothing has run, so the
	 * caller is told so and the connection is closed.
	 * @param request the request
	 * @param limits the limits
	 * @return the body; an error of {@link RosemaryException}
	 */
	static Mono<byte[]> read(HttpServerRequest request, EntrySettings.Limits limits) {
		int greatest = limits.bodyBytes();
		if (declaredLength(request) > greatest) {
			return Mono.error(tooLarge(greatest));
		}
		return request.receive().asByteArray().reduceWith(ByteArrayOutputStream::new, (collected, part) -> {
			if (collected.size() + part.length > greatest) {
				throw tooLarge(greatest);
			}
			collected.write(part, 0, part.length);
			return collected;
		})
			.map(ByteArrayOutputStream::toByteArray)
			.timeout(Duration.ofMillis(limits.bodyMillis()))
			.onErrorMap(TimeoutException.class, (_) -> RosemaryException.of(Problem.notRun(ProblemCode.BAD_REQUEST,
					"the body was not complete within " + limits.bodyMillis() + " ms")));
	}

	private static long declaredLength(HttpServerRequest request) {
		try {
			return Long.parseLong(request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH, "0"));
		}
		catch (NumberFormatException ex) {
			throw RosemaryException.of(Problem.notRun(ProblemCode.BAD_REQUEST, "Content-Length is no number"));
		}
	}

	private static RosemaryException tooLarge(int greatest) {
		return RosemaryException
			.of(Problem.notRun(ProblemCode.TOO_LARGE, "the body is longer than " + greatest + " bytes"));
	}

}
