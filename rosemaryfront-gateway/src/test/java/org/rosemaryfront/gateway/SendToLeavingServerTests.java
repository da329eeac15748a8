package org.rosemaryfront.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import io.netty.channel.EventLoop;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.limits.ServerStatements;
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

class SendToLeavingServerTests {

	// Guards against sending a call to a server that announced between the choice of the
	// server and the sending that it leaves.
	@Test
	void shouldSendNothingToServerWhenItLeavesDuringConnect() throws IOException {
		LoopResources loops = LoopResources.create("test", 1, true);
		InetSocketAddress address = new InetSocketAddress("127.0.0.1", FreePorts.one());
		try (ScriptedServer server = ScriptedServer.start((request, exchange) -> exchange.ok(request, "x"));
				ScriptedServer other = ScriptedServer.start((request, exchange) -> exchange.ok(request, "y"))) {
			LeavingPolicy policy = new LeavingPolicy(backend("s1", server), backend("s2", other));
			Gateway.Addresses addresses = new Gateway.Addresses(address,
					new InetSocketAddress("127.0.0.1", FreePorts.one()));
			TrafficMetrics metrics = new TrafficMetrics();
			EventLoop loop = loops.onServer(false).next();
			StreamOrigins streams = new StreamOrigins(loop, "gateway-1", (_, _) -> {
			}, metrics);
			try (Gateway _ = Gateway.open(loop, addresses, "a", new PlainCodecs(), policy, () -> 0, streams, metrics);
					RawCaller caller = new RawCaller(address)) {
				assertThat(caller.send(RawCaller.get("c1", "/sheets/")).read().body()).isEqualTo("y");
			}
			assertThat(server.requests()).isEmpty();
			assertThat(policy.failures).extracting(CallPolicy.Failure::sent).containsExactly(false);
		}
		finally {
			loops.dispose();
		}
	}

	private static BackendServer backend(String id, ScriptedServer server) {
		return new BackendServer(id, 0, "app", "v1", server.address(), "a", 8, false, false, 0);
	}

	/**
	 * Sends each call first to a server that is leaving by the time of the sending, and
	 * then to another one.
	 */
	private static final class LeavingPolicy implements CallPolicy {

		private final TrafficConfiguration configuration = GatewayHarness.configuration(1, CallerLimits.INITIAL,
				GatewayHarness.organisation(0));

		private final BackendServer leaving;

		private final BackendServer other;

		private final List<Failure> failures = new CopyOnWriteArrayList<>();

		private LeavingPolicy(BackendServer leaving, BackendServer other) {
			this.leaving = leaving;
			this.other = other;
		}

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
			return !server.equals(this.leaving);
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
			call.send(this.leaving, 2, Optional.empty());
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
			if (server.equals(this.leaving)) {
				call.send(this.other, 2, Optional.empty());
			}
			else {
				call.giveUp(Refusal.of(Cause.NO_SERVER, "none"));
			}
		}

		@Override
		public void ended(Call call, BackendServer server, Ending ending) {
		}

		@Override
		public void endedWithoutServer(Call call) {
		}

	}

}
