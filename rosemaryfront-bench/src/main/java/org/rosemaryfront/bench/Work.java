package org.rosemaryfront.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.LongConsumer;

import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Resource.LatencyTarget;
import org.rosemaryfront.model.Resource.Organisation;
import org.rosemaryfront.serving.PrefixBlocks;

/** Makes the seeded work of a deployment. */
final class Work {

	private static final int TURNS = 4;

	/**
	 * The time from a chat's first turn to its last; chats begin so long before the run
	 * that its load is even from the start.
	 */
	private static final long CHAT_NANOS = (TURNS - 1) * 12 * VirtualTime.SECOND;

	private final Deployment deployment;

	private final Random random;

	private final List<WorkItem> items = new ArrayList<>();

	private final long durationNanos;

	private final String name;

	private Work(String name, Deployment deployment, long durationNanos, long seed) {
		this.name = name;
		this.deployment = deployment;
		this.durationNanos = durationNanos;
		this.random = new Random(seed);
	}

	// -- factories

	// The Federation: quotes from long round histories, complaint letters to summarise,
	// quick scheduling questions.
	static List<WorkItem> federation(Deployment deployment, double perSecond, long durationNanos, long seed) {
		Work work = new Work("f", deployment, durationNanos, seed);
		int[] histories = new int[48];
		for (int i = 0; i < histories.length; i++) {
			histories[i] = work.between(1_500, 4_000);
		}
		work.poisson(perSecond * 0.5, 0, (at) -> work.quote(at, histories));
		work.poisson(perSecond * 0.1, 0, work::complaint);
		work.poisson(perSecond * 0.4, 0, work::question);
		return work.sorted();
	}

	// Tynkarnia: chats of several turns, and long estimates to summarise. The rate is of
	// answers of all sorts.
	static List<WorkItem> tynkarnia(Deployment deployment, double perSecond, long durationNanos, long seed) {
		Work work = new Work("t", deployment, durationNanos, seed);
		work.poisson(perSecond * 0.85 / TURNS, -CHAT_NANOS, (at) -> work.chat(at, work.organisation()));
		work.poisson(perSecond * 0.15, 0, work::estimate);
		return work.sorted();
	}

	// Chats of one organisation, to be added to other work.
	static List<WorkItem> flood(Deployment deployment, Organisation organisation, double perSecond, long fromNanos,
			long untilNanos, long seed) {
		Work work = new Work("x", deployment, untilNanos, seed);
		work.poisson(perSecond / TURNS, fromNanos, (at) -> work.chat(at, organisation));
		return work.sorted();
	}

	// -- sorts of requests

	private void quote(long at, int[] histories) {
		int round = this.random.nextInt(histories.length);
		Organisation owner = this.deployment.organisations().get(owner(round));
		String prompt = words("round" + round, histories[round]) + unique(between(30, 80));
		add(at, owner, this.deployment.chat(), prompt, between(80, 220), 320);
	}

	private void complaint(long at) {
		Organisation owner = organisation();
		add(at, owner, this.deployment.summary(), words(owner.name() + "rules", 96) + unique(between(500, 1_200)),
				between(150, 300), 400);
	}

	private void question(long at) {
		Organisation owner = organisation();
		add(at, owner, this.deployment.chat(), words(owner.name() + "help", 64) + unique(between(20, 60)),
				between(20, 60), 128);
	}

	private void chat(long at, Organisation owner) {
		String prompt = words(owner.name() + "crew", 192);
		long turnAt = at;
		for (int turn = 0; turn < TURNS; turn++) {
			prompt = prompt + unique(between(30, 80));
			int answer = between(60, 140);
			add(turnAt, owner, this.deployment.chat(), prompt, answer, 256);
			prompt = prompt + unique(answer);
			turnAt += between(4_000, 12_000) * VirtualTime.MILLI;
		}
	}

	private void estimate(long at) {
		Organisation owner = organisation();
		add(at, owner, this.deployment.summary(), words(owner.name() + "estimate", 256) + unique(between(1_500, 4_500)),
				between(300, 900), 1_200);
	}

	// -- parts

	private void add(long at, Organisation owner, LatencyTarget target, String prompt, int answer, int maxTokens) {
		if (at < 0 || at > this.durationNanos) {
			return;
		}
		String whole = prompt + " length=" + answer;
		PrefixBlocks blocks = PrefixBlocks.of(Deployment.MODEL, "", whole);
		this.items.add(new WorkItem(new RequestId(this.name + this.items.size()), at, owner.name(), target, whole,
				blocks, maxTokens, this.random.nextInt(Integer.MAX_VALUE)));
	}

	private int between(int least, int most) {
		return least + this.random.nextInt(most - least + 1);
	}

	private Organisation organisation() {
		return this.deployment.organisations().get(owner(this.random.nextInt(Integer.MAX_VALUE)));
	}

	// Organisations get work in proportion to their shares.
	private int owner(int number) {
		double total = this.deployment.organisations().stream().mapToDouble(Organisation::share).sum();
		double place = number % total;
		int owner = 0;
		while (place >= this.deployment.organisations().get(owner).share()) {
			place -= this.deployment.organisations().get(owner).share();
			owner++;
		}
		return owner;
	}

	private void poisson(double perSecond, long fromNanos, LongConsumer arrival) {
		double at = fromNanos;
		while (true) {
			at += -Math.log(1 - this.random.nextDouble()) / perSecond * VirtualTime.SECOND;
			if (at > this.durationNanos) {
				return;
			}
			arrival.accept((long) at);
		}
	}

	private List<WorkItem> sorted() {
		this.items.sort(Comparator.comparingLong(WorkItem::atNanos));
		return List.copyOf(this.items);
	}

	private String unique(int count) {
		return words("u" + Integer.toString(this.random.nextInt(Integer.MAX_VALUE), Character.MAX_RADIX), count);
	}

	private static String words(String stem, int count) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < count; i++) {
			text.append(' ').append(stem).append(i);
		}
		return text.toString();
	}

}
