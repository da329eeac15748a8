package org.rosemaryfront.controller;

import java.util.function.BiConsumer;
import java.util.function.IntSupplier;

import org.rosemaryfront.engine.EngineClient;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.platform.TableClient;

/**
 * What a controller talks to.
 *
 * @param settings its settings
 * @param tables the table service
 * @param cloud the cloud API
 * @param engines the model engines
 * @param announce tells the entries that a VM is leaving, with the time left in
 * milliseconds
 * @param controllers how many controllers are alive
 */
record ControllerParts(ControllerSettings settings, TableClient tables, CloudClient cloud, EngineClient engines,
		BiConsumer<VmId, Long> announce, IntSupplier controllers) {
}
