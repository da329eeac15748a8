package org.rosemaryfront.quota;

import java.util.Set;

/**
 * The organisations that may have used a large burst before this process started.
 *
 * @param known whether the organisations are known; any of them may have if not
 * @param organisations the organisations
 */
public record EarlierBursts(boolean known, Set<String> organisations) {

	/** Nothing says which organisations did. */
	public static final EarlierBursts UNKNOWN = new EarlierBursts(false, Set.of());

	/** No organisation did. */
	public static final EarlierBursts NONE = new EarlierBursts(true, Set.of());

	public EarlierBursts {
		organisations = Set.copyOf(organisations);
	}

	public static EarlierBursts of(Set<String> organisations) {
		return new EarlierBursts(true, organisations);
	}

	boolean mayInclude(String organisation) {
		return !this.known || this.organisations.contains(organisation);
	}

}
