package org.rosemaryfront.load;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.netty.handler.codec.http.HttpMethod;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.rosemaryfront.load.BookingLedger.Told;
import org.rosemaryfront.load.LoadHttp.Answer;
import org.rosemaryfront.load.LoadHttp.Call;
import org.rosemaryfront.load.LoadHttp.Header;
import org.rosemaryfront.load.LoadSettings.Organisation;
import org.rosemaryfront.standin.http.StandInJson;

/**
 * One caller's booking: sent once, or several times through different entries under the
 * same key, at the same time or shortly after each other, as impatient callers do.
 */
final class BookingCall {

	private static final int REPEATED_OF_TEN = 3;

	private static final int REPEATS = 2;

	private static final int PAUSE_MILLIS = 60;

	private static final int TRIES_WITHOUT_ANSWER = 5;

	private static final Duration TRY_AGAIN = Duration.ofMillis(300);

	private final LoadHttp http;

	private final LoadTally tally;

	private final BookingLedger ledger;

	private final LoadSettings settings;

	private final Organisation organisation;

	private final String key;

	private final String path;

	private final String body;

	private final int repeats;

	private final int pauseMillis;

	private final long started = System.nanoTime();

	BookingCall(LoadHttp http, LoadTally tally, BookingLedger ledger, LoadSettings settings, RandomGenerator random) {
		this.http = http;
		this.tally = tally;
		this.ledger = ledger;
		this.settings = settings;
		this.organisation = settings.organisations().get(random.nextInt(settings.organisations().size()));
		this.key = "booking-" + Long.toHexString(random.nextLong());
		this.path = "/services/" + settings.servicePool() + (random.nextBoolean() ? "/bookings" : "/holds");
		this.body = StandInJson.object()
			.put("household", "household-" + random.nextInt(1_000))
			.put("slot", "slot-" + Long.toHexString(random.nextLong()))
			.toString();
		this.repeats = (random.nextInt(10) < REPEATED_OF_TEN) ? 1 + random.nextInt(REPEATS) : 0;
		this.pauseMillis = random.nextBoolean() ? 0 : random.nextInt(PAUSE_MILLIS);
	}

	Mono<Void> run() {
		return Flux.range(0, 1 + this.repeats)
			.flatMap((turn) -> Mono.delay(Duration.ofMillis((long) turn * this.pauseMillis))
				.then(Mono.defer(() -> send(TRIES_WITHOUT_ANSWER))))
			.then();
	}

	private Mono<Void> send(int tries) {
		this.ledger.sent(this.key);
		List<Header> headers = List.of(new Header("Authorization", "Bearer " + this.organisation.key()),
				new Header("Content-Type", "application/json"), new Header("Idempotency-Key", this.key));
		Call call = new Call(HttpMethod.POST, this.http.nextEntry() + this.path, headers, this.body,
				Optional.of(this.settings.timeout()));
		return this.http.call(call, LoadHttp::read)
			.next()
			.map(BookingCall::told)
			.onErrorResume((_) -> Mono.just(Told.NOTHING))
			.defaultIfEmpty(Told.NOTHING)
			.flatMap((answer) -> {
				this.ledger.told(this.key, answer);
				if (answer != Told.NOTHING) {
					LoadTally.record(this.tally.booking, System.nanoTime() - this.started);
					return Mono.empty();
				}
				return (tries > 1) ? Mono.delay(TRY_AGAIN).then(Mono.defer(() -> send(tries - 1))) : Mono.empty();
			});
	}

	private static Told told(Answer answer) {
		if (answer.status() == 201) {
			return Told.CREATED;
		}
		return switch (answer.verdict()) {
			case "not-run" -> Told.NOT_RUN;
			case "ran" -> Told.RAN;
			default -> Told.MAY_HAVE_RUN;
		};
	}

}
