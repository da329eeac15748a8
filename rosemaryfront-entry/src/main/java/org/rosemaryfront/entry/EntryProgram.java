package org.rosemaryfront.entry;

import org.rosemaryfront.program.Program;

/**
 * The program {@code rosemaryfront-entry}: callers' and operators' HTTP, one process on
 * every entry VM.
 */
public final class EntryProgram {

	private EntryProgram() {
	}

	/**
	 * Runs the program.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		Program.run("rosemaryfront-entry", args, "/schema/entry.json", EntrySettings.class, EntryProcess::start);
	}

}
