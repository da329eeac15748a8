package org.rosemaryfront.entry;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.configuration.Change;
import org.rosemaryfront.configuration.ConfigurationStore;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.PeerHandler;
import org.rosemaryfront.peer.PeerNode;
import org.rosemaryfront.peer.PeerSettings;
import org.rosemaryfront.platform.HttpPlatform;
import org.rosemaryfront.platform.PlatformSettings;
import org.rosemaryfront.services.HeldClaim;
import org.rosemaryfront.standin.platform.PlatformServer;
import org.rosemaryfront.standin.platform.StandinPlatformSettings;

import static org.assertj.core.api.Assertions.assertThat;

/** A whole entry over the stand-in platform. */
class EntryProcessTests {

	private static final Duration LIMIT = Duration.ofSeconds(30);

	private static final String OPERATOR_KEY = "operator-key";

	private final PlatformServer standin = PlatformServer.start(StandinPlatformSettings.standard().times(0, 0, 1_000));

	private final HttpPlatform platform = HttpPlatform.of(new PlatformSettings(this.standin.url(), 0));

	private EntryProcess entry;

	@BeforeEach
	void startEntry() {
		Resource.Pool booking = new Resource.Pool("booking", Resource.Serves.SERVICE, List.of(), List.of("tunis-a"),
				List.of("small"), 1, 3, Resource.Fencing.IGNORED, 8, 1, 1, List.of());
		Resource.Organisation federation = new Resource.Organisation("federation",
				List.of(CallerKeys.hash(TestEntry.KEY)), 1, List.of("booking"));
		ConfigurationStore.of(this.platform).apply(Change.ofAll("test", List.of(booking, federation))).block(LIMIT);
		this.entry = EntryProcess.start(settings());
		list("entry-a", this.entry.listeners().get("peers"));
		Conditions.await("ready", () -> callers("/readyz").statusCode() == 200);
	}

	@AfterEach
	void stopEntry() {
		this.entry.close();
		this.platform.close();
		this.standin.close();
	}

	/**
	 * A homeowner's booking was on its way when its entry's VM ended. The app repeats it
	 * at another entry and must learn at once that the booking may have been made; it
	 * read so only after 15 s, since the entry did not say which entries are gone.
	 */
	@Test
	void shouldAnswerRepeatAtOnceWhenEntryThatHeldTheClaimIsDead() {
		PeerNode gone = PeerNode.start(
				PeerSettings.of(new VmId("entry-b"), "tn-north", "tunis-b", PeerSettings.ENTRY, "127.0.0.1", 0),
				this.platform, this.platform, new SilentHandler());
		list("entry-b", gone.address());
		Conditions.await("entry-b is known", () -> status().contains("entry-b"));
		gone.close();
		Conditions.await("entry-b is dead",
				() -> Caller.json(status())
					.path("nodes")
					.findParents("vm")
					.stream()
					.anyMatch((node) -> node.path("vm").asText().equals("entry-b")
							&& node.path("state").asText().equalsIgnoreCase("dead")));
		HeldClaim.write(this.platform, "entry-b", "key-1", "villa-1");
		HttpResponse<String> repeat = Caller
			.send(request("callers", "/services/booking/bookings", TestEntry.KEY).header("Idempotency-Key", "key-1")
				.POST(BodyPublishers.ofString("villa-1"))
				.build());
		assertThat(repeat.body()).contains("\"verdict\":\"may-have-run\"", "its outcome is unknown");
	}

	private void list(String vm, String address) {
		HttpResponse<String> listed = Caller
			.send(HttpRequest.newBuilder(URI.create(this.standin.url() + "/standin/v1/entries"))
				.POST(BodyPublishers
					.ofString("{\"vm\":\"" + vm + "\",\"zone\":\"tunis-a\",\"address\":\"" + address + "\"}"))
				.build());
		assertThat(listed.statusCode()).isLessThan(300);
	}

	private HttpResponse<String> callers(String path) {
		return Caller.send(request("callers", path, TestEntry.KEY).build());
	}

	private String status() {
		return Caller.send(request("operators", "/apis/v1/status", OPERATOR_KEY).build()).body();
	}

	private HttpRequest.Builder request(String listener, String path, String key) {
		return HttpRequest.newBuilder(URI.create("http://" + this.entry.listeners().get(listener) + path))
			.timeout(LIMIT)
			.header("Authorization", "Bearer " + key);
	}

	private EntrySettings settings() {
		EntrySettings.Listener listener = new EntrySettings.Listener("127.0.0.1", 0, null);
		return new EntrySettings("entry-a", "tn-north", "tunis-a", new EntrySettings.Platform(this.standin.url(), 0),
				listener, new EntrySettings.Operators("127.0.0.1", 0, List.of(CallerKeys.hash(OPERATOR_KEY)), null),
				listener, null, null, new EntrySettings.Watch(50, 50, 1_000, 0, 0, 0), null, null,
				new EntrySettings.Stop(0, 200, 200, 50, 1_000));
	}

	private static final class SilentHandler implements PeerHandler {

		@Override
		public void configurationApplied(Configuration configuration) {
		}

		@Override
		public void departureLearned(VmId vm, long remainingMillis) {
		}

	}

}
