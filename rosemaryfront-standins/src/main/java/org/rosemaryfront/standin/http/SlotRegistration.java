package org.rosemaryfront.standin.http;

import java.time.Duration;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.channel.ChannelOption;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.util.retry.Retry;

import org.rosemaryfront.events.EventLog;

/** Offers a stand-in to the platform as a spare machine, until the platform took it. */
public final class SlotRegistration {

	private static final Duration PAUSE = Duration.ofMillis(200);

	private static final int TIMEOUT_MILLIS = 2_000;

	private SlotRegistration() {
	}

	/**
	 * Offers a machine.
	 * @param platform the base URL of the platform
	 * @param address where the stand-in listens
	 * @param role {@code runner} or {@code service}
	 * @param zone its availability zone
	 * @param machineClass its machine class
	 * @return disposing it ends the attempts
	 */
	public static Disposable offer(String platform, String address, String role, String zone, String machineClass) {
		String body = json(Map.of("address", address, "role", role, "zone", zone, "machineClass", machineClass));
		return HttpClient.newConnection()
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MILLIS)
			.responseTimeout(Duration.ofMillis(TIMEOUT_MILLIS))
			.headers((headers) -> headers.set("Content-Type", "application/json"))
			.post()
			.uri(platform + "/standin/v1/slots")
			.send(ByteBufMono.fromString(Mono.just(body)))
			.response()
			.filter((response) -> response.status().code() / 100 == 2)
			.switchIfEmpty(Mono.error(() -> new IllegalStateException("the platform did not take the slot")))
			.retryWhen(Retry.fixedDelay(Long.MAX_VALUE, PAUSE))
			.subscribe((_) -> EventLog.info(StandInEvents.SLOT_OFFERED, "address", address, "role", role));
	}

	private static String json(Map<String, String> fields) {
		try {
			return JsonMapper.builder().build().writeValueAsString(fields);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
