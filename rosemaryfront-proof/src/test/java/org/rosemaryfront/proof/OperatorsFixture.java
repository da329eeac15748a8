package org.rosemaryfront.proof;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.rosemaryfront.configuration.ConfigurationStore;
import org.rosemaryfront.ctl.Console;
import org.rosemaryfront.ctl.ExitCode;
import org.rosemaryfront.ctl.Rosemaryctl;
import org.rosemaryfront.keys.Sha256;
import org.rosemaryfront.membership.MemberState;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.operators.OperatorServer;
import org.rosemaryfront.operators.OperatorSettings;
import org.rosemaryfront.operators.OperatorView;
import org.rosemaryfront.operators.ServerView;
import org.rosemaryfront.peer.MemberView;
import org.rosemaryfront.standin.platform.InMemoryPlatform;
import org.rosemaryfront.standin.platform.StandinPlatformSettings;
import org.rosemaryfront.tls.TlsSettings;

/**
 * An operators' listener over the stand-in platform, with an entry whose state the test
 * sets.
 */
final class OperatorsFixture implements AutoCloseable {

	static final String KEY = "operator-key";

	/** So high that no test meets the limits of the storage. */
	private static final long RATE = 100_000;

	private static final Duration LIMIT = Duration.ofSeconds(30);

	private final InMemoryPlatform platform = InMemoryPlatform.of(StandinPlatformSettings.standard().rates(RATE, RATE));

	private final ConfigurationStore store = ConfigurationStore.of(this.platform);

	private final Entry entry = new Entry();

	private final OperatorServer server;

	private OperatorsFixture() {
		this.server = OperatorServer.start(
				new OperatorSettings("127.0.0.1", 0, List.of(Sha256.hex(KEY)), TlsSettings.none()), this.store,
				this.entry);
	}

	static OperatorsFixture start() {
		return new OperatorsFixture();
	}

	// -- parts

	Entry entry() {
		return this.entry;
	}

	InMemoryPlatform platform() {
		return this.platform;
	}

	ConfigurationStore store() {
		return this.store;
	}

	String url() {
		return "http://" + this.server.address();
	}

	/** Takes what is declared into force, as the peer node of an entry does. */
	void takeIntoForce() {
		this.entry.inForce = this.store.read().block();
	}

	@Override
	public void close() {
		this.server.close();
	}

	// -- calls

	Ctl ctl(String... args) {
		return ctlAt(url(), args);
	}

	Ctl ctlAt(String servers, String... args) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		ByteArrayOutputStream err = new ByteArrayOutputStream();
		Console console = new Console(new PrintStream(out, true, StandardCharsets.UTF_8),
				new PrintStream(err, true, StandardCharsets.UTF_8),
				Map.of("ROSEMARYFRONT_SERVER", servers, "ROSEMARYFRONT_OPERATOR_KEY", KEY));
		ExitCode exit = Rosemaryctl.run(List.of(args), console);
		return new Ctl(exit, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
	}

	Reply get(String path) {
		return send(HttpRequest.newBuilder(URI.create(url() + path)).header("Authorization", "Bearer " + KEY));
	}

	Reply post(String path, String body) {
		return send(HttpRequest.newBuilder(URI.create(url() + path))
			.header("Authorization", "Bearer " + KEY)
			.POST(HttpRequest.BodyPublishers.ofString(body)));
	}

	static Reply send(HttpRequest.Builder request) {
		try (HttpClient client = HttpClient.newHttpClient()) {
			HttpResponse<String> response = client.send(request.timeout(LIMIT).build(),
					HttpResponse.BodyHandlers.ofString());
			return new Reply(response.statusCode(), JsonMapper.builder().build().readTree(response.body()), response);
		}
		catch (IOException ex) {
			throw new java.io.UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	// -- values

	record Ctl(ExitCode exit, String out, String err) {
	}

	record Reply(int status, JsonNode body, HttpResponse<String> response) {
	}

	static final class Entry implements OperatorView {

		private final List<VmId> drained = new CopyOnWriteArrayList<>();

		private volatile Configuration inForce = Configuration.empty();

		private volatile List<ServerView> servers = List.of();

		private volatile List<MemberView> others = List.of();

		void others(MemberView... members) {
			this.others = List.of(members);
		}

		void servers(ServerView... views) {
			this.servers = List.of(views);
		}

		List<VmId> drained() {
			return this.drained;
		}

		static MemberView member(String vm, MemberState state, long revision) {
			return new MemberView(new VmId(vm), "127.0.0.1:1", "tunis-a", "entry", state, 1, revision);
		}

		@Override
		public void drain(VmId vm) {
			this.drained.add(vm);
		}

		@Override
		public List<String> explain(String request) {
			return request.equals("known") ? List.of("dispatched to vm3") : List.of();
		}

		@Override
		public Configuration inForce() {
			return this.inForce;
		}

		@Override
		public List<MemberView> members() {
			List<MemberView> members = new ArrayList<>(this.others);
			members.add(member("entry-1", MemberState.ALIVE, this.inForce.revision()));
			return members;
		}

		@Override
		public List<ServerView> servers() {
			return this.servers;
		}

	}

}
