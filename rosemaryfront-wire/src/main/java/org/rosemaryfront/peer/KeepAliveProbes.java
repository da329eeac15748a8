package org.rosemaryfront.peer;

import java.util.Map;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * When the system probes an idle TCP connection: one that something between its ends
 * forgot is found only by probes, since nothing ever resets it.
 *
 * @param afterSeconds the idle time before the first probe, in seconds
 * @param intervalSeconds the time between two probes, in seconds
 * @param count the probes without answer after which the connection ends
 */
public record KeepAliveProbes(int afterSeconds, int intervalSeconds, int count) {

	/**
	 * The options of a socket, beside {@link ChannelOption#SO_KEEPALIVE}.
	 * @return the options
	 */
	public Map<ChannelOption<Integer>, Integer> options() {
		return Map.of(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), this.afterSeconds,
				NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), this.intervalSeconds,
				NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), this.count);
	}

}
