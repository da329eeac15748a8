package org.rosemaryfront.standin.platform;

import org.rosemaryfront.program.Program;

/** The program {@code standin-platform}. */
public final class PlatformProgram {

	private PlatformProgram() {
	}

	/**
	 * Runs the stand-in platform.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		Program.run("standin-platform", args, "/schema/standin-platform.json", StandinPlatformSettings.class,
				PlatformServer::start);
	}

}
