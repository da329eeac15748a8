package org.rosemaryfront.standin.engine;

import org.rosemaryfront.program.Program;

/** The program {@code standin-engine}. */
public final class EngineProgram {

	private EngineProgram() {
	}

	/**
	 * Runs the program.
	 * @param args {@code --settings FILE}
	 */
	public static void main(String[] args) {
		Program.run("standin-engine", args, "/schema/standin-engine.json", EngineSettings.class, EngineServer::start);
	}

}
