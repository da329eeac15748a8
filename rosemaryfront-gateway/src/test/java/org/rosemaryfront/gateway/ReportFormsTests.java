package org.rosemaryfront.gateway;

import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.gateway.proto.CrashNews;
import org.rosemaryfront.gateway.proto.GatewayReport;
import org.rosemaryfront.gateway.proto.OrganisationUse;
import org.rosemaryfront.gateway.proto.RolloutNews;
import org.rosemaryfront.gateway.proto.RolloutTally;
import org.rosemaryfront.gateway.proto.ServerLimit;
import org.rosemaryfront.gateway.proto.ServerNotice;
import org.rosemaryfront.gateway.proto.ServerPermits;
import org.rosemaryfront.gateway.proto.ServerUse;
import org.rosemaryfront.gateway.proto.ServiceSpeed;
import org.rosemaryfront.gateway.proto.StatedNotice;
import org.rosemaryfront.gateway.proto.TableNews;
import org.rosemaryfront.gateway.proto.TableRow;
import org.rosemaryfront.gateway.proto.TableRows;
import org.rosemaryfront.gateway.proto.TunnelFrame;
import org.rosemaryfront.gateway.proto.TunnelOpen;
import org.rosemaryfront.gateway.proto.TunnelRefusal;
import org.rosemaryfront.gateway.proto.UnwrittenUse;
import org.rosemaryfront.gateway.proto.WindowSum;
import org.rosemaryfront.rollout.Phase;
import org.rosemaryfront.rollout.RolloutOrder;
import org.rosemaryfront.rollout.RolloutTable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against reports that gateways of another build misread because the number or
 * type of a field, or the number of a phase, has changed.
 */
class ReportFormsTests {

	private static final TableRow ROW = TableRow.newBuilder()
		.setKey("k")
		.setValue(ByteString.copyFromUtf8("v"))
		.setVersion(51)
		.setRemoved(true)
		.build();

	@Test
	void shouldKeepBytesOfReportWhenEveryFieldIsSet() {
		GatewayReport report = GatewayReport.newBuilder()
			.setGateway("g1")
			.setStart(7)
			.setNumber(8)
			.addOrganisations(OrganisationUse.newBuilder().setOrganisation("sfax").setBegun(1).setUnits(2).setAsked(3))
			.addServers(ServerUse.newBuilder()
				.setServer("s1")
				.setCalls(4)
				.setUnreadTokens(5)
				.setStartedMillis(6)
				.addParts(9)
				.addPartTokens(10)
				.setRejectionLimit(1.5)
				.setRejections(46))
			.setReadingTokens(11)
			.setLeaving(true)
			.setAdminPort(12)
			.setWindow(13)
			.addUnwritten(UnwrittenUse.newBuilder().setWindow(14).setRow("r").setCounts(ByteString.copyFromUtf8("{}")))
			.addSpeeds(ServiceSpeed.newBuilder().setService("app").addRates(0.5))
			.setFresh(true)
			.setGroup(15)
			.addCrashes(CrashNews.newBuilder()
				.setRequest(ByteString.copyFromUtf8("d"))
				.setServer("s2")
				.setStartedMillis(16)
				.setAtMillis(17)
				.setCleared(true))
			.setHeardStart(18)
			.setHeardNumber(19)
			.setDutyFence(20)
			.setReadsTables(true)
			.addTables(TableNews.newBuilder()
				.setTable("t")
				.setVersion(21)
				.setSince(22)
				.addRows(ROW)
				.setOmitted(true)
				.setProvenMillis(23))
			.addRollouts(RolloutNews.newBuilder()
				.setService("app")
				.setTo("v2")
				.setDurationMillis(24)
				.setNumber(25)
				.setPhase(26)
				.addTallies(RolloutTally.newBuilder()
					.setRoute("x")
					.setFreshCalls(27)
					.setFreshBad(28)
					.setOldCalls(29)
					.setOldBad(30)))
			.addLimits(ServerLimit.newBuilder()
				.setServer("s3")
				.setStartedMillis(31)
				.setTold(true)
				.setLifted(true)
				.setPerSecond(1.5)
				.setFromAgeMillis(32)
				.setUntilAgeMillis(33)
				.setDemand(34)
				.setWaiting(42)
				.setIssuer(35)
				.addPermits(ServerPermits.newBuilder().setOf(36).setIssued(37).setSettled(38))
				.addSettlements(ServerPermits.newBuilder().setOf(39).setSettled(40).setUnused(41)))
			.setTunnelPort(43)
			.setServersOutOfReach(44)
			.setZone("a")
			.addNotices(StatedNotice.newBuilder()
				.setServer("s4")
				.setStartedMillis(45)
				.setNotice(ServerNotice.newBuilder().setLeaving(true).setBackoffMillis(47)))
			.addSums(WindowSum.newBuilder().setWindow(48).setCounts(ByteString.copyFromUtf8("{}")))
			.build();
		assertThat(report.getAllFields()).hasSameSizeAs(GatewayReport.getDescriptor().getFields());
		assertThat(hex(report.toByteArray())).isEqualTo("""
				0a02673115070000001808220c0a0473666178180128023003\
				2a220a0273311004180520062a08090000000000000032010a39000000000000f83f402e\
				300b3801400c480d\
				5209080e1201721a027b7d\
				5a0f0a036170701208000000000000e03f6001\
				7d0f000000\
				82010d0a016412027332181020112801\
				8d0112000000900113980114a00101\
				aa01170a017410151816220a0a016b1201761833200128013817\
				b2011c0a036170701202763218182019281a320b0a0178101b181c201d281e\
				ba01360a027333101f1801200129000000000000f83f3020382140224d230000\
				0052090d24000000102518265a090d2700000018282029602a\
				c0012bc8012cd2010161\
				da010c0a027334102d1a040801102f\
				e20106083012027b7d\
				""");
	}

	@Test
	void shouldKeepBytesOfTableWhenAnotherGatewayReadsIt() {
		assertThat(hex(TableRows.newBuilder().setVersion(52).addRows(ROW).build().toByteArray()))
			.isEqualTo("0834120a0a016b12017618332001");
	}

	@Test
	void shouldKeepBytesOfTunnelWhenAnotherGatewayReadsIt() {
		List<TunnelFrame> frames = List.of(
				TunnelFrame.newBuilder().setOpen(TunnelOpen.newBuilder().setServer("s1").setStartedMillis(1)).build(),
				TunnelFrame.newBuilder().setOpened(true).build(),
				TunnelFrame.newBuilder()
					.setRefused(TunnelRefusal.newBuilder().setCause("c").setUnreachable(true))
					.build(),
				TunnelFrame.newBuilder().setCall("r1").build(),
				TunnelFrame.newBuilder().setData(ByteString.copyFromUtf8("d")).build(),
				TunnelFrame.newBuilder().setClosed(true).build(), TunnelFrame.newBuilder().setFailure("f").build(),
				TunnelFrame.newBuilder().setIdle(true).build(),
				TunnelFrame.newBuilder()
					.setNotice(ServerNotice.newBuilder().setLeaving(true).setBackoffMillis(2))
					.build(),
				TunnelFrame.newBuilder().setOpened(true).setTakesNotices(true).build());
		assertThat(frames).hasSameSizeAs(TunnelFrame.getDescriptor().getFields());
		assertThat(frames.stream().map((frame) -> hex(frame.toByteArray()))).containsExactly("0a060a0273311001", "1001",
				"1a050a01631001", "22027231", "2a0164", "3001", "3a0166", "4001", "4a0408011002", "10015001");
	}

	@ParameterizedTest
	@CsvSource({ "TRIAL, 1", "MOVING, 2", "SUCCEEDED, 3", "ROLLED_BACK, 4" })
	void shouldKeepNumberOfPhaseWhenReported(Phase phase, int number) {
		Rollouts sender = rollouts();
		sender.ordered(new RolloutOrder("app", "v2", 4_000, 9));
		RolloutNews update = sender.updates((_) -> Optional.of(phase), 1).getFirst();
		assertThat(hex(update.toByteArray())).isEqualTo("0a0361707012027632" + "18a01f" + "2009" + "280" + number);
		Rollouts receiver = rollouts();
		receiver.receive("gateway-2/1", sender.updates((_) -> Optional.of(phase), 1), 1);
		assertThat(receiver.table().find("app").orElseThrow().phase()).isEqualTo(phase);
	}

	private static Rollouts rollouts() {
		return new Rollouts(RolloutTable.empty(0.5), new BackendTable(), "gateway-1/1", () -> 0.5);
	}

	private static String hex(byte[] bytes) {
		return HexFormat.of().formatHex(bytes);
	}

}
