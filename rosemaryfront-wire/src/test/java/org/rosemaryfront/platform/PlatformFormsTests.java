package org.rosemaryfront.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient.Listed;
import org.rosemaryfront.platform.CloudClient.Market;
import org.rosemaryfront.platform.CloudClient.Notice;
import org.rosemaryfront.platform.CloudClient.Offer;
import org.rosemaryfront.platform.CloudClient.Purchase;
import org.rosemaryfront.platform.CloudClient.Vm;
import org.rosemaryfront.platform.CloudClient.VmState;
import org.rosemaryfront.platform.TableClient.Condition;
import org.rosemaryfront.platform.TableClient.Row;
import org.rosemaryfront.platform.TableClient.Transaction;
import org.rosemaryfront.platform.TableClient.Write;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against documents that the platform does not understand any more, since a field
 * or a word has another name.
 */
class PlatformFormsTests {

	@Test
	void shouldKeepFormOfRowWhenEveryFieldIsSet() {
		JsonNode form = form("{\"table\":\"t\",\"key\":\"k\",\"version\":3,\"value\":{\"a\":1}}");
		Row row = new Row("t", "k", form.path("value"), 3);
		assertThat(written(PlatformCodec.row(row))).isEqualTo(form);
		assertThat(PlatformCodec.row(form)).isEqualTo(row);
	}

	@Test
	void shouldKeepFormOfTransactionWhenItWritesAndDeletes() {
		JsonNode form = form("""
				{"conditions":[{"table":"t","key":"k","version":3}],
				"writes":[{"table":"u","key":"l","value":{"a":1}},{"table":"u","key":"m","value":null}]}""");
		Transaction transaction = new Transaction(List.of(new Condition("t", "k", 3)),
				List.of(new Write("u", "l", Optional.of(form("{\"a\":1}"))), new Write("u", "m", Optional.empty())));
		assertThat(written(PlatformCodec.transaction(transaction))).isEqualTo(form);
		assertThat(PlatformCodec.transaction(form)).isEqualTo(transaction);
	}

	@Test
	void shouldKeepFormOfVersionsWhenCommitGaveThem() {
		JsonNode form = form("{\"versions\":[4,5]}");
		assertThat(written(PlatformCodec.versions(List.of(4L, 5L)))).isEqualTo(form);
		assertThat(PlatformCodec.versions(form)).containsExactly(4L, 5L);
	}

	@Test
	void shouldKeepFormOfListedVmWhenEveryFieldIsSet() {
		JsonNode form = form("""
				{"vm":"i","role":"r","pool":"p","zone":"z","address":"10.0.0.1:1","leaving":true}""");
		Listed listed = new Listed(new VmId("i"), "r", "p", "z", "10.0.0.1:1", true);
		assertThat(written(PlatformCodec.listed(listed))).isEqualTo(form);
		assertThat(PlatformCodec.listed(form)).isEqualTo(listed);
	}

	@Test
	void shouldKeepFormOfNoticeWhenEveryFieldIsSet() {
		JsonNode form = form("{\"number\":6,\"vm\":\"i\",\"remainingMillis\":7}");
		Notice notice = new Notice(6, new VmId("i"), 7);
		assertThat(written(PlatformCodec.notice(notice))).isEqualTo(form);
		assertThat(PlatformCodec.notice(form)).isEqualTo(notice);
	}

	@Test
	void shouldKeepFormOfOfferWhenEveryFieldIsSet() {
		JsonNode form = form("""
				{"zone":"z","machineClass":"c","market":"reclaimable","pricePerHour":0.5,"reclaimsPerHour":0.25}""");
		Offer offer = new Offer("z", "c", Market.RECLAIMABLE, 0.5, 0.25);
		assertThat(written(PlatformCodec.offer(offer))).isEqualTo(form);
		assertThat(PlatformCodec.offer(form)).isEqualTo(offer);
	}

	@Test
	void shouldKeepFormOfPurchaseWhenEveryFieldIsSet() {
		JsonNode form = form("""
				{"clientToken":"t","pool":"p","zone":"z","machineClass":"c","market":"on-demand"}""");
		Purchase purchase = new Purchase("t", "p", "z", "c", Market.ON_DEMAND);
		assertThat(written(PlatformCodec.purchase(purchase))).isEqualTo(form);
		assertThat(PlatformCodec.purchase(form)).isEqualTo(purchase);
	}

	@ParameterizedTest
	@CsvSource({ "STARTING, starting", "RUNNING, running", "RECLAIMING, reclaiming", "GONE, gone" })
	void shouldKeepFormOfVmWhenEveryFieldIsSet(VmState state, String word) {
		JsonNode form = form("""
				{"id":"i","clientToken":"t","pool":"p","zone":"z","machineClass":"c","market":"on-demand",
				"state":"%s","address":"10.0.0.1:1"}""".formatted(word));
		Vm vm = new Vm(new VmId("i"), "t", "p", "z", "c", Market.ON_DEMAND, state, "10.0.0.1:1");
		assertThat(written(PlatformCodec.vm(vm))).isEqualTo(form);
		assertThat(PlatformCodec.vm(form)).isEqualTo(vm);
	}

	private static JsonNode form(String text) {
		return PlatformCodec.tree(text.getBytes(StandardCharsets.UTF_8));
	}

	// Parsed from text again: a tree built from values keeps their number types.
	private static JsonNode written(JsonNode document) {
		return PlatformCodec.tree(PlatformCodec.bytes(document));
	}

}
