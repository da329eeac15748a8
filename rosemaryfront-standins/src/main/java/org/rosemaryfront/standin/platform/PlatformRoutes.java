package org.rosemaryfront.standin.platform;

import java.util.Optional;

import reactor.core.publisher.Mono;

import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.PlatformCodec;
import org.rosemaryfront.platform.TableClient.Outcome;

/** The platform protocol before the model; docs/INTERFACES.md gives the protocol. */
final class PlatformRoutes {

	private final PlatformModel model;

	PlatformRoutes(PlatformModel model) {
		this.model = model;
	}

	/**
	 * Answers a call.
	 * @param call the call
	 * @return the answer, empty when the protocol has no such call
	 */
	Optional<Mono<Reply>> answer(Call call) {
		return Optional.ofNullable(switch (call.route()) {
			case "POST /tables/v1/commit 3" -> commit(call);
			case "GET /tables/v1/rows 5" -> read(call);
			case "GET /tables/v1/rows 4" -> scan(call);
			case "POST /cloud/v1/vms 3" -> buy(call);
			case "GET /cloud/v1/vms 3" ->
				this.model.vms().map((vms) -> Reply.json(200, PlatformCodec.list("vms", vms, PlatformCodec::vm)));
			case "DELETE /cloud/v1/vms 4" -> this.model.release(new VmId(call.segment(3))).map((_) -> Reply.done());
			case "GET /cloud/v1/offers 3" -> this.model.offers()
				.map((offers) -> Reply.json(200, PlatformCodec.list("offers", offers, PlatformCodec::offer)));
			case "GET /cloud/v1/notices 3" -> this.model.notices(call.number("after", 0))
				.map((notices) -> Reply.json(200, PlatformCodec.list("notices", notices, PlatformCodec::notice)));
			case "GET /vmlist/v1/vms 3" -> this.model.vmList()
				.map((vms) -> Reply.json(200, PlatformCodec.list("vms", vms, PlatformCodec::listed)));
			default -> content(call);
		});
	}

	private Mono<Reply> buy(Call call) {
		return this.model.buy(PlatformCodec.purchase(call.document()))
			.map((sale) -> Reply.json(sale.repeat() ? 200 : 201, PlatformCodec.vm(sale.vm())));
	}

	private Mono<Reply> commit(Call call) {
		return this.model.commit(PlatformCodec.transaction(call.document())).map((outcome) -> switch (outcome) {
			case Outcome.Committed committed -> Reply.json(200, PlatformCodec.versions(committed.versions()));
			case Outcome.Conflict conflict ->
				Reply.json(409, PlatformCodec.list("failed", conflict.failed(), PlatformCodec::condition));
		});
	}

	private Mono<Reply> content(Call call) {
		boolean object = call.path().size() == 4 && call.segment(0).equals("objects") && call.segment(1).equals("v1");
		boolean weights = call.path().size() == 4 && call.segment(0).equals("weights") && call.segment(1).equals("v1");
		if (weights && call.method().equals("GET")) {
			return this.model.weights().map(Reply::bytes);
		}
		return object ? object(call, call.segment(2) + '/' + call.segment(3)) : null;
	}

	private Mono<Reply> object(Call call, String name) {
		return switch (call.method()) {
			case "DELETE" -> this.model.deleteObject(name).map((_) -> Reply.done());
			case "GET" -> this.model.getObject(name).map((found) -> found.map(Reply::bytes).orElseGet(Reply::missing));
			case "PUT" -> this.model.putObject(name, call.body()).map((_) -> Reply.done());
			default -> null;
		};
	}

	private Mono<Reply> read(Call call) {
		return this.model.read(call.segment(3), call.segment(4))
			.map((found) -> found.map((row) -> Reply.json(200, PlatformCodec.row(row))).orElseGet(Reply::missing));
	}

	private Mono<Reply> scan(Call call) {
		int limit = (int) Math.min(Integer.MAX_VALUE, call.number("limit", TableStore.SCAN_LIMIT));
		return this.model.scan(call.segment(3), call.parameter("prefix", ""), call.parameter("after", ""), limit)
			.map((rows) -> Reply.json(200, PlatformCodec.list("rows", rows, PlatformCodec::row)));
	}

}
