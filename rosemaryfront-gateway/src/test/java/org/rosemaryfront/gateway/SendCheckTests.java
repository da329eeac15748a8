package org.rosemaryfront.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.limits.ServerStatements;
import org.rosemaryfront.ports.ForwardingMetadata.RunCopy;
import org.rosemaryfront.routes.CallerLimits;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.routes.TrafficConfiguration;
import org.rosemaryfront.standin.net.FreePorts;
import org.rosemaryfront.traffic.Call;
import org.rosemaryfront.traffic.CallPolicy;
import org.rosemaryfront.traffic.Gateway;
import org.rosemaryfront.traffic.Refusal;
import org.rosemaryfront.traffic.Refusal.Cause;
import org.rosemaryfront.traffic.TrafficMetrics;

import static org.assertj.core.api.Assertions.assertThat;

/** What is checked before a call is sent, whatever the policy decided. */
class SendCheckTests {

	private static final String NOT_REPEATABLE = "/visits/";

	private final LoopResources loops = LoopResources.create("test", 1, true);

	private final InetSocketAddress callers = new InetSocketAddress("127.0.0.1", FreePorts.one());

	private final ScriptedServer server = ScriptedServer.start((request, exchange) -> exchange.socket().close());

	private final StubPolicy policy = new StubPolicy();

	@AfterEach
	void stop() {
		this.server.close();
		this.loops.dispose();
	}

	// Guards against a request that runs twice because whoever sends it again forgot that
	// it may have run.
	@ParameterizedTest
	@CsvSource({ "/visits/, 1", "/drafts/, 1", "/sheets/, 2" })
	void shouldSendAgainOnlyWhatMayRunTwiceWhenFirstAttemptMayHaveRun(String path, int requests) throws IOException {
		this.policy.admit = (call) -> call.send(backend(), 2, Optional.empty());
		this.policy.failed = (call) -> {
			if (this.policy.failures.size() < 2) {
				call.send(backend(), 2, Optional.empty());
			}
			else {
				call.giveUp(Refusal.of(Cause.MAY_HAVE_RUN, "none"));
			}
		};
		try (Gateway _ = open(); RawCaller caller = new RawCaller(this.callers)) {
			assertThat(caller.send(RawCaller.get("c1", path)).read().status()).isEqualTo(502);
		}
		assertThat(this.server.requests()).hasSize(requests);
	}

	// Guards against a run that is sent to a server that may not be sent requests by the
	// time at which the connection is there.
	@Test
	void shouldNotSendRunWhenServerMayNotBeSentItAnyMore() throws IOException {
		this.policy.admit = (call) -> call.move()
			.continueAt(backend(), 2, new RunCopy("127.0.0.1:9", "h1"), () -> false);
		this.policy.failed = (call) -> call.giveUp(Refusal.of(Cause.MAY_HAVE_RUN, "none"));
		try (Gateway _ = open(); RawCaller caller = new RawCaller(this.callers)) {
			assertThat(caller.send(RawCaller.get("c1", NOT_REPEATABLE)).read().status()).isEqualTo(502);
		}
		assertThat(this.server.requests()).isEmpty();
		assertThat(this.policy.failures).extracting(CallPolicy.Failure::sent).containsExactly(false);
	}

	// Guards against memory that grows with calls that ended while the policy had not
	// taken them up yet, and that find no server then.
	@Test
	void shouldTellPolicyOfEndAgainWhenItRefusesCallThatHasEnded() throws IOException {
		List<Call> admitted = new CopyOnWriteArrayList<>();
		this.policy.admit = admitted::add;
		try (Gateway _ = open()) {
			try (RawCaller caller = new RawCaller(this.callers)) {
				caller.send(RawCaller.get("c1", NOT_REPEATABLE));
				GatewayHarness.await(() -> !admitted.isEmpty());
			}
			GatewayHarness.await(() -> this.policy.ends.get() == 1);
			admitted.getFirst().refuse(503, 1, Refusal.of(Cause.NO_SERVER, "none"));
			GatewayHarness.await(() -> this.policy.ends.get() == 2);
		}
	}

	private BackendServer backend() {
		return new BackendServer("s1", 0, "app", "v1", this.server.address(), "a", 8, false, false, 0);
	}

	private Gateway open() {
		Gateway.Addresses addresses = new Gateway.Addresses(this.callers,
				new InetSocketAddress("127.0.0.1", FreePorts.one()));
		TrafficMetrics metrics = new TrafficMetrics();
		EventLoop loop = this.loops.onServer(false).next();
		StreamOrigins streams = new StreamOrigins(loop, "gateway-1", (_, _) -> {
		}, metrics);
		return Gateway.open(loop, addresses, "a", new PlainCodecs(), this.policy, () -> 0, streams, metrics);
	}

	/** Does with calls what a test tells. */
	private static final class StubPolicy implements CallPolicy {

		private final TrafficConfiguration configuration = GatewayHarness.configuration(1, CallerLimits.INITIAL,
				GatewayHarness.organisation(0));

		private final List<Failure> failures = new CopyOnWriteArrayList<>();

		private final AtomicInteger ends = new AtomicInteger();

		private volatile Consumer<Call> admit = (_) -> {
		};

		private volatile Consumer<Call> failed = (_) -> {
		};

		@Override
		public Optional<TrafficConfiguration> configuration() {
			return Optional.of(this.configuration);
		}

		@Override
		public boolean isStopping() {
			return false;
		}

		@Override
		public boolean acceptsNewCall(Optional<Route> route) {
			return true;
		}

		@Override
		public boolean isQuarantined(Call call) {
			return false;
		}

		@Override
		public boolean acceptsCalls(BackendServer server) {
			return true;
		}

		@Override
		public Optional<BackendServer> eligibleServer(BackendServer.Incarnation server) {
			return Optional.empty();
		}

		@Override
		public void pathLost(Call call) {
		}

		@Override
		public void admit(Call call) {
			this.admit.accept(call);
		}

		@Override
		public void stated(BackendServer server, String requestId, ServerStatements statements, long sentNanos) {
		}

		@Override
		public void runStarted(Call call) {
		}

		@Override
		public void failed(Call call, BackendServer server, Failure failure) {
			this.failures.add(failure);
			this.failed.accept(call);
		}

		@Override
		public void ended(Call call, BackendServer server, Ending ending) {
		}

		@Override
		public void endedWithoutServer(Call call) {
			this.ends.incrementAndGet();
		}

	}

}
