package org.rosemaryfront.proof;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a running process uses, as the Linux kernel counts it.
 *
 * @param cpuMillis processor time since its start, in milliseconds; the kernel counts in
 * steps of 10 ms
 * @param residentKilobytes resident memory, VmRSS
 * @param peakKilobytes the greatest resident memory so far, VmHWM
 * @param threads the number of threads
 */
public record ProcessUse(long cpuMillis, long residentKilobytes, long peakKilobytes, int threads) {

	/** Milliseconds in a tick of {@code /proc/PID/stat}: USER_HZ is 100 on Linux. */
	private static final long MILLIS_PER_TICK = 10;

	/** Fields between the name of the program and utime in {@code /proc/PID/stat}. */
	private static final int USER_TICKS = 11;

	/**
	 * Reads the use of a process.
	 * @param pid the process identifier
	 * @return what it uses now
	 * @throws UncheckedIOException when it has ended
	 */
	public static ProcessUse of(long pid) {
		Path folder = Path.of("/proc", String.valueOf(pid));
		try {
			String stat = Files.readString(folder.resolve("stat"));
			String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
			long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[USER_TICKS + 1]);
			String status = Files.readString(folder.resolve("status"));
			return new ProcessUse(ticks * MILLIS_PER_TICK, field(status, "VmRSS:"), field(status, "VmHWM:"),
					(int) field(status, "Threads:"));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("process " + pid, ex);
		}
	}

	private static long field(String status, String name) {
		return status.lines()
			.filter((line) -> line.startsWith(name))
			.map((line) -> line.substring(name.length()).replace("kB", "").trim())
			.mapToLong(Long::parseLong)
			.findFirst()
			.orElse(0);
	}

}
