package org.rosemaryfront.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.FastThreadLocalThread;
import reactor.core.publisher.Mono;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.duties.UsageLedger;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.limits.ServerLimits;
import org.rosemaryfront.moves.CopyAnswer;
import org.rosemaryfront.ports.CallCodec;
import org.rosemaryfront.ports.EngineRuns;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.quota.QuotaTable;
import org.rosemaryfront.rollout.RolloutTable;
import org.rosemaryfront.tables.Freshness;
import org.rosemaryfront.traffic.Gateway;
import org.rosemaryfront.traffic.Liveness;
import org.rosemaryfront.traffic.TrafficMetrics;
import org.rosemaryfront.warmup.SampleCalls;
import org.rosemaryfront.warmup.WarmUp;
import org.rosemaryfront.warmup.WarmUpCaller;
import org.rosemaryfront.warmup.WarmUpServer;

/**
 * The path of calls with tables, metrics and threads of its own, on the loopback
 * interface only. What it logs is discarded, it has no store, and it knows no server but
 * the one inside the process.
 */
final class WarmUpGateway implements WarmUp.Path {

	private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

	private static final String NAME = "warm-up";

	private static final int START = 1;

	private final EventLoopGroup loops;

	private final ControlLoop control;

	private final Gateway gateway;

	private final WarmUpCaller caller;

	private WarmUpGateway(GatewaySettings settings, CallCodec codec, EventLoopGroup loops, ControlLoop control) {
		this.loops = loops;
		this.control = control;
		BackendTable servers = new BackendTable();
		TrafficMetrics metrics = new TrafficMetrics();
		GatewayControl decisions = decisions(settings, this.control, servers, metrics);
		EventLoop io = this.loops.next();
		StreamOrigins streams = new StreamOrigins(io, NAME, (_, _) -> {
		}, metrics);
		InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		this.gateway = Gateway.open(io, new Gateway.Addresses(loopback, loopback), settings.zone(), codec, decisions,
				this.control::lagNanos, streams, metrics);
		InetSocketAddress server = WarmUpServer.open(io, codec).address();
		CompletableFuture<Void> declared = new CompletableFuture<>();
		this.control.post((now) -> {
			SampleCalls.servers(server, settings.zone()).forEach(servers::recordExistingRegistration);
			decisions.configuration(SampleCalls.configuration());
			decisions.serversUpdated("1", now);
		});
		this.control.post((_) -> declared.complete(null));
		declared.join();
		this.caller = WarmUpCaller.of(this.gateway.callersAddress(), codec);
	}

	/**
	 * Opens the path.
	 * @param settings the settings of the process, whose addresses are not used
	 * @param codec the codec of call headers
	 * @return the open path
	 */
	static WarmUpGateway open(GatewaySettings settings, CallCodec codec) {
		EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, threads("warm-up-io"), NioIoHandler.newFactory());
		ControlLoop control = ControlLoop.start(threads("warm-up-control"), TICK_INTERVAL, (_) -> {
		});
		boolean opened = false;
		try {
			WarmUpGateway gateway = new WarmUpGateway(settings, codec, loops, control);
			opened = true;
			return gateway;
		}
		finally {
			if (!opened) {
				end(loops, control);
			}
		}
	}

	private static void end(EventLoopGroup loops, ControlLoop control) {
		control.close();
		// Closes all sockets as well.
		loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static GatewayControl decisions(GatewaySettings settings, ControlLoop control, BackendTable servers,
			TrafficMetrics metrics) {
		GatewaySettings.Bounds bounds = settings.bounds();
		Fleet fleet = new Fleet(START);
		fleet.gatewaysListed();
		QuotaTable quotas = new QuotaTable(bounds.quotaWindowMillis(), System.nanoTime(), bounds.quotaSlack(),
				WarmUpGateway::random);
		CrashRecords crashes = new CrashRecords(new NoRows(), servers, control, NAME, new NoCallbacks());
		crashes.listener().tableRead(List.of(), 1);
		Rollouts rollouts = new Rollouts(RolloutTable.empty(bounds.exposureShare()), servers, NAME,
				WarmUpGateway::random);
		CallLimits limits = new CallLimits(ServerLimits.of(NAME, START, fleet, WarmUpGateway::random), control,
				metrics);
		return new GatewayControl(control, servers, settings, quotas, fleet,
				new UsageLedger(bounds.usageWindowMillis()), new CrashGuard(crashes, servers), rollouts, limits,
				Freshness.unconfirmed(TimeUnit.MILLISECONDS.toNanos(bounds.heartbeatMillis())), (_) -> {
				}, new NoEngines(), metrics);
	}

	private static double random() {
		return ThreadLocalRandom.current().nextDouble();
	}

	private static ThreadFactory threads(String name) {
		return (work) -> {
			Thread thread = new FastThreadLocalThread(() -> EventLog.discardDuring(work), name);
			thread.setDaemon(true);
			return thread;
		};
	}

	@Override
	public void call(int number) throws IOException {
		this.caller.call(number);
	}

	@Override
	public void close() {
		this.gateway.close();
		end(this.loops, this.control);
	}

	/** A store without responses. */
	private static final class NoRows implements RowStore {

		@Override
		public Mono<Outcome> commit(Commit commit) {
			return Mono.never();
		}

		@Override
		public Mono<Page> read(Range range) {
			return Mono.never();
		}

		@Override
		public Mono<Page> changes(String table, long since, Duration wait) {
			return Mono.never();
		}

	}

	/** Engines that copy nothing. */
	private static final class NoEngines implements EngineRuns {

		@Override
		public Mono<CopyAnswer> copy(BackendServer source, String requestId, BackendServer target, boolean last,
				Duration timeout) {
			return Mono.never();
		}

		@Override
		public Mono<Boolean> drop(BackendServer source, String handle) {
			return Mono.never();
		}

	}

	/** Nobody to tell about crashes. */
	private static final class NoCallbacks implements CrashRecords.Callbacks {

		@Override
		public void checkAlive(BackendServer server, Consumer<Liveness> reply) {
			reply.accept(Liveness.UNKNOWN);
		}

		@Override
		public void quarantineChanged() {
		}

		@Override
		public void count(String name) {
		}

	}

}
