package org.rosemaryfront.standin.platform;

import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

import org.rosemaryfront.platform.CloudClient.Offer;
import org.rosemaryfront.platform.PlatformCodec;

/**
 * The settings of the stand-in platform.
 *
 * @param host the address it listens on
 * @param port the port it listens on, 0 for one that the system chooses
 * @param writesPerSecond commits and object writes let through a second
 * @param readsPerSecond reads of rows, scans and objects let through a second
 * @param weightsPerSecond downloads from the weight store let through a second
 * @param weightBytes the size of every download, in bytes
 * @param vmListLagMillis how late the VM list shows a change, in milliseconds
 * @param bootMillis how long a VM takes to boot, in milliseconds
 * @param timeoutMillis when a call in the same process without an answer fails, in
 * milliseconds
 * @param offers what VMs cost; machines of other sorts get a standard offer
 */
public record StandinPlatformSettings(String host, int port, long writesPerSecond, long readsPerSecond,
		long weightsPerSecond, int weightBytes, long vmListLagMillis, long bootMillis, long timeoutMillis,
		List<Offer> offers) {

	/** The brief gives several hundred writes a second for the table service. */
	private static final long WRITES_PER_SECOND = 400;

	/** The brief gives about two thousand reads a second for the table service. */
	private static final long READS_PER_SECOND = 2000;

	private static final long WEIGHTS_PER_SECOND = 10;

	private static final int WEIGHT_BYTES = 65_536;

	private static final long VM_LIST_LAG_MILLIS = 2000;

	private static final long BOOT_MILLIS = 500;

	private static final long TIMEOUT_MILLIS = 1000;

	public StandinPlatformSettings {
		Objects.requireNonNull(host, "host is null");
		offers = List.copyOf(offers);
	}

	// -- factories

	/**
	 * The settings that hold when the file names none.
	 * @return the settings
	 */
	public static StandinPlatformSettings standard() {
		return new StandinPlatformSettings("127.0.0.1", 0, WRITES_PER_SECOND, READS_PER_SECOND, WEIGHTS_PER_SECOND,
				WEIGHT_BYTES, VM_LIST_LAG_MILLIS, BOOT_MILLIS, TIMEOUT_MILLIS, List.of());
	}

	@JsonCreator
	static StandinPlatformSettings of(@JsonProperty("host") String host, @JsonProperty("port") Integer port,
			@JsonProperty("writesPerSecond") Long writesPerSecond, @JsonProperty("readsPerSecond") Long readsPerSecond,
			@JsonProperty("weightsPerSecond") Long weightsPerSecond, @JsonProperty("weightBytes") Integer weightBytes,
			@JsonProperty("vmListLagMillis") Long vmListLagMillis, @JsonProperty("bootMillis") Long bootMillis,
			@JsonProperty("offers") List<JsonNode> offers) {
		StandinPlatformSettings standard = standard();
		return new StandinPlatformSettings(or(host, standard.host), or(port, standard.port),
				or(writesPerSecond, standard.writesPerSecond), or(readsPerSecond, standard.readsPerSecond),
				or(weightsPerSecond, standard.weightsPerSecond), or(weightBytes, standard.weightBytes),
				or(vmListLagMillis, standard.vmListLagMillis), or(bootMillis, standard.bootMillis), TIMEOUT_MILLIS,
				or(offers, List.<JsonNode>of()).stream().map(PlatformCodec::offer).toList());
	}

	// -- changes

	/**
	 * The same settings with other limits of the storage.
	 * @param writes commits and object writes let through a second
	 * @param reads reads let through a second
	 * @return the settings
	 */
	public StandinPlatformSettings rates(long writes, long reads) {
		return new StandinPlatformSettings(this.host, this.port, writes, reads, this.weightsPerSecond, this.weightBytes,
				this.vmListLagMillis, this.bootMillis, this.timeoutMillis, this.offers);
	}

	/**
	 * The same settings with other times.
	 * @param lagMillis how late the VM list shows a change, in milliseconds
	 * @param boot how long a VM takes to boot, in milliseconds
	 * @param timeout when a call in the same process fails, in milliseconds
	 * @return the settings
	 */
	public StandinPlatformSettings times(long lagMillis, long boot, long timeout) {
		return new StandinPlatformSettings(this.host, this.port, this.writesPerSecond, this.readsPerSecond,
				this.weightsPerSecond, this.weightBytes, lagMillis, boot, timeout, this.offers);
	}

	/**
	 * The same settings with other offers.
	 * @param others what VMs cost
	 * @return the settings
	 */
	public StandinPlatformSettings offers(List<Offer> others) {
		return new StandinPlatformSettings(this.host, this.port, this.writesPerSecond, this.readsPerSecond,
				this.weightsPerSecond, this.weightBytes, this.vmListLagMillis, this.bootMillis, this.timeoutMillis,
				others);
	}

	private static <T> T or(T given, T standard) {
		return (given != null) ? given : standard;
	}

}
