package org.rosemaryfront.standin.service;

import org.rosemaryfront.program.Program;

/** The program {@code standin-service}. */
public final class ServiceProgram {

	private ServiceProgram() {
	}

	/**
	 * Runs the program.
	 * @param args {@code --settings FILE}
	 */
	public static void main(String[] args) {
		Program.run("standin-service", args, "/schema/standin-service.json", ServiceSettings.class,
				ServiceServer::start);
	}

}
