package org.rosemaryfront.events;

/**
 * A numbered log event. Every implementation is an enum, one for each area, with the
 * numbers of its area; docs/EVENTS.md lists all of them.
 *
 * <p>
 * Ranges: 1000 program, 2000 serving, 2500 services and claims, 3000 configuration, 4000
 * membership and hand-off, 5000 controller, 6000 operators' side, 7000 platform and
 * engine clients, 8000 stand-ins, 9000 broken invariants.
 */
public interface EventCode {

	/**
	 * The number of the event, unique in the whole system.
	 * @return the number
	 */
	int number();

	/**
	 * The name of the event.
	 * @return the name of the enum constant
	 */
	String name();

}
