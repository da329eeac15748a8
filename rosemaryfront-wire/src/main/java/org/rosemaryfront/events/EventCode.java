package org.rosemaryfront.events;

/**
 * A numbered log event. Each area has one or more enums that implement this interface,
 * with numbers from the range of the area; docs/EVENTS.md lists all events.
 *
 * <p>
 * The ranges begin at: 1000 program, 2000 serving, 2500 services and claims, 3000
 * configuration, 4000 membership and hand-off, 5000 controller, 6000 operator interface,
 * 7000 platform and engine clients, 8000 stand-ins, 9000 broken invariants.
 */
public interface EventCode {

	/**
	 * Returns the number of the event, which is unique in the whole system.
	 * @return the number
	 */
	int number();

	/**
	 * Returns the name of the event.
	 * @return the name of the enum constant
	 */
	String name();

}
