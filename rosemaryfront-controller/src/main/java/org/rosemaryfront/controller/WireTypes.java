package org.rosemaryfront.controller;

import java.util.List;

import org.rosemaryfront.capacity.CloudVm;
import org.rosemaryfront.capacity.Intent;
import org.rosemaryfront.capacity.Market;
import org.rosemaryfront.capacity.Offer;
import org.rosemaryfront.capacity.OfferKey;
import org.rosemaryfront.capacity.ServerState;
import org.rosemaryfront.engine.EngineClient;
import org.rosemaryfront.platform.CloudClient;

/** Translates between the platform's and engines' types and those of the decisions. */
final class WireTypes {

	static final String DRAIN = "drain";

	static final String SERVE = "serve";

	private WireTypes() {
	}

	static CloudVm vm(CloudClient.Vm vm) {
		return new CloudVm(vm.id(), vm.clientToken(), vm.pool(),
				new OfferKey(vm.zone(), vm.machineClass(), market(vm.market())), switch (vm.state()) {
					case STARTING -> CloudVm.State.STARTING;
					case RUNNING -> CloudVm.State.RUNNING;
					case RECLAIMING -> CloudVm.State.RECLAIMING;
					case GONE -> CloudVm.State.GONE;
				}, vm.address());
	}

	static List<CloudVm> vms(List<CloudClient.Vm> vms) {
		return vms.stream().map(WireTypes::vm).toList();
	}

	static List<Offer> offers(List<CloudClient.Offer> offers) {
		return offers.stream()
			.map((offer) -> new Offer(new OfferKey(offer.zone(), offer.machineClass(), market(offer.market())),
					offer.pricePerHour(), offer.reclaimsPerHour()))
			.toList();
	}

	static CloudClient.Purchase purchase(Intent intent) {
		OfferKey sort = intent.sort();
		return new CloudClient.Purchase(intent.token(), intent.pool(), sort.zone(), sort.machineClass(),
				(sort.market() == Market.ON_DEMAND) ? CloudClient.Market.ON_DEMAND : CloudClient.Market.RECLAIMABLE);
	}

	static ServerState state(EngineClient.ActualState state) {
		return new ServerState(state.fence(), state.models(), state.adapters(), state.loading(),
				DRAIN.equals(state.role()), state.running(), state.queued(), state.streams());
	}

	private static Market market(CloudClient.Market market) {
		return switch (market) {
			case RECLAIMABLE -> Market.RECLAIMABLE;
			case ON_DEMAND -> Market.ON_DEMAND;
		};
	}

}
