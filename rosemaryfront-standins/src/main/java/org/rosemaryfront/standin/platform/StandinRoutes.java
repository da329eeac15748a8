package org.rosemaryfront.standin.platform;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.PlatformCodec;
import org.rosemaryfront.standin.platform.Fault.Kind;
import org.rosemaryfront.standin.platform.Fault.Mode;
import org.rosemaryfront.standin.platform.Fault.Service;

/**
 * The calls by which tests and the demo play the world outside: {@code /standin/v1/...}.
 * No fault strikes them.
 */
final class StandinRoutes {

	private final PlatformModel model;

	StandinRoutes(PlatformModel model) {
		this.model = model;
	}

	/**
	 * Answers a call.
	 * @param call the call
	 * @return the answer, empty when there is no such call
	 */
	Optional<Reply> answer(Call call) {
		return Optional.ofNullable(switch (call.route()) {
			case "POST /standin/v1/entries 3" -> addEntry(call.document());
			case "DELETE /standin/v1/entries 4" -> removeEntry(call.segment(3));
			case "POST /standin/v1/slots 3" -> offer(call.document());
			case "POST /standin/v1/reclaims 3" -> reclaim(call.document());
			case "POST /standin/v1/faults 3" -> begin(call.document());
			case "DELETE /standin/v1/faults 3" -> clearFaults();
			case "GET /standin/v1/stats 3" -> Reply.json(200, stats(this.model.stats()));
			default -> null;
		});
	}

	private Reply addEntry(JsonNode document) {
		this.model.addEntry(new VmId(PlatformCodec.text(document, "vm")), PlatformCodec.text(document, "zone"),
				PlatformCodec.text(document, "address"));
		return Reply.done();
	}

	private Reply begin(JsonNode document) {
		Fault fault = fault(document);
		EventLog.info(StandinPlatformEvents.FAULT_BEGUN, "fault", fault);
		this.model.begin(fault);
		return Reply.done();
	}

	private Reply clearFaults() {
		EventLog.info(StandinPlatformEvents.FAULTS_CLEARED);
		this.model.clearFaults();
		return Reply.done();
	}

	private Reply offer(JsonNode document) {
		this.model.offer(new SlotOffer(PlatformCodec.text(document, "address"), PlatformCodec.text(document, "role"),
				PlatformCodec.text(document, "zone"), PlatformCodec.text(document, "machineClass")));
		return Reply.done();
	}

	private Reply reclaim(JsonNode document) {
		long noticeMillis = PlatformCodec.number(document, "noticeMillis");
		var vms = this.model.reclaim(reclaimed(document), noticeMillis);
		EventLog.info(StandinPlatformEvents.RECLAIM_BEGUN, "vms", vms, "noticeMillis", noticeMillis);
		return Reply.json(200, PlatformCodec.list("vms", vms, (vm) -> TextNode.valueOf(vm.value())));
	}

	private Reply removeEntry(String vm) {
		this.model.removeEntry(new VmId(vm));
		return Reply.done();
	}

	// -- forms

	static Fault fault(JsonNode document) {
		return new Fault(PlatformCodec.constant(Kind.values(), document, "kind"),
				document.has("mode") ? PlatformCodec.constant(Mode.values(), document, "mode") : Mode.REFUSE,
				document.has("service") ? Optional.of(PlatformCodec.constant(Service.values(), document, "service"))
						: Optional.empty(),
				document.has("table") ? Optional.of(PlatformCodec.text(document, "table")) : Optional.empty(),
				number(document, "millis", Fault.FOR_GOOD), number(document, "delayMillis", 0),
				document.path("probability").asDouble(1), number(document, "seed", 0));
	}

	private static long number(JsonNode document, String field, long standard) {
		return document.has(field) ? PlatformCodec.number(document, field) : standard;
	}

	private static Reclaim reclaimed(JsonNode document) {
		if (document.has("vm")) {
			return new Reclaim.OfVm(new VmId(PlatformCodec.text(document, "vm")));
		}
		if (document.has("zone")) {
			return new Reclaim.OfZone(PlatformCodec.text(document, "zone"));
		}
		if (document.path("share").isNumber()) {
			return new Reclaim.OfShare(document.path("share").asDouble(), number(document, "seed", 0));
		}
		throw new IllegalArgumentException("a reclaim names a vm, a zone or a share");
	}

	private static ObjectNode stats(PlatformStats stats) {
		ObjectNode document = PlatformCodec.list("costs", stats.costs(),
				(cost) -> PlatformCodec.object()
					.put("zone", cost.zone())
					.put("machineClass", cost.machineClass())
					.put("market", PlatformCodec.word(cost.market()))
					.put("vmHours", cost.vmHours())
					.put("cost", cost.cost()));
		return document.put("reads", stats.reads())
			.put("writes", stats.writes())
			.put("rowsWritten", stats.rowsWritten())
			.put("conflicts", stats.conflicts())
			.put("overRate", stats.overRate())
			.put("readsPerSecond", stats.readsPerSecond())
			.put("writesPerSecond", stats.writesPerSecond())
			.put("vmHours", stats.vmHours())
			.put("cost", stats.cost())
			.put("atMillis", stats.atMillis());
	}

}
