package org.rosemaryfront.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import javax.net.ssl.SSLException;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.kohsuke.args4j.Option;

/**
 * The options of every command that talks to servers.
 */
abstract sealed class ServerCommand implements Command permits ApplyCommand, DiffCommand, DrainCommand, ExplainCommand,
		GetCommand, StatusCommand, WaitCommand, WatchCommand {

	private static final String SERVER_VARIABLE = "ROSEMARYFRONT_SERVER";

	private static final String KEY_VARIABLE = "ROSEMARYFRONT_OPERATOR_KEY";

	@Option(name = "--server", metaVar = "URL[,URL]",
			usage = "operators' base URLs, asked in turn (default: ROSEMARYFRONT_SERVER)")
	private String server = "";

	@Option(name = "--key", metaVar = "KEY", forbids = "--key-file",
			usage = "operator key (default: ROSEMARYFRONT_OPERATOR_KEY)")
	private String key = "";

	@Option(name = "--key-file", metaVar = "FILE", usage = "file that holds the operator key")
	private Path keyFile;

	@Option(name = "--trust", metaVar = "FILE",
			usage = "PEM file of the certificates that sign the servers' (default: those of the Java runtime)")
	private Path trust;

	@Override
	public final ExitCode run(Console console) {
		return run(console, OperatorApi.of(servers(console), key(console), tls()));
	}

	/**
	 * Runs the command against servers.
	 * @param console where it reads and writes
	 * @param api the servers
	 * @return how it ended
	 */
	abstract ExitCode run(Console console, OperatorApi api);

	private String key(Console console) {
		if (this.keyFile != null) {
			try {
				return Files.readString(this.keyFile).strip();
			}
			catch (IOException ex) {
				throw CtlException.of(ExitCode.WRONG_USE, this.keyFile + ": cannot be read: " + ex.getMessage(), ex);
			}
		}
		String found = this.key.isEmpty() ? console.environment().getOrDefault(KEY_VARIABLE, "") : this.key;
		if (found.isEmpty()) {
			throw CtlException.of(ExitCode.WRONG_USE,
					"an operator key is needed: --key-file, --key or " + KEY_VARIABLE);
		}
		return found;
	}

	private SslContext tls() {
		try {
			SslContextBuilder builder = SslContextBuilder.forClient();
			return ((this.trust != null) ? builder.trustManager(this.trust.toFile()) : builder).build();
		}
		catch (SSLException | IllegalArgumentException ex) {
			throw CtlException.of(ExitCode.WRONG_USE, this.trust + ": allowed are certificates as PEM", ex);
		}
	}

	private List<String> servers(Console console) {
		String urls = this.server.isEmpty() ? console.environment().getOrDefault(SERVER_VARIABLE, "") : this.server;
		List<String> servers = Arrays.stream(urls.split(","))
			.map(String::strip)
			.filter((url) -> !url.isEmpty())
			.toList();
		if (servers.isEmpty()) {
			throw CtlException.of(ExitCode.WRONG_USE, "a server is needed: --server or " + SERVER_VARIABLE);
		}
		return servers;
	}

}
