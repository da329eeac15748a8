package org.rosemaryfront.limits;

import java.util.regex.Pattern;

/** The format of numbers in statements of servers: digits with an optional fraction. */
final class Decimal {

	private static final int MAX_LENGTH = 16;

	private static final Pattern FORMAT = Pattern.compile("[0-9]+(\\.[0-9]+)?");

	private Decimal() {
	}

	static boolean isValid(String text) {
		return text.length() <= MAX_LENGTH && FORMAT.matcher(text).matches();
	}

	static String shortened(String text) {
		return (text.length() <= MAX_LENGTH) ? text : text.substring(0, MAX_LENGTH) + "...";
	}

}
