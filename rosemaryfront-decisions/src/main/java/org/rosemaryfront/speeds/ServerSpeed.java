package org.rosemaryfront.speeds;

/**
 * What is known of the speed of a run of a server.
 *
 * @param timeFactor the time that it takes, relative to a typical server of its service:
 * 1 is typical, 2 is half as fast
 * @param deviation the standard deviation of the natural logarithm of the factor
 * @param calls the number of calls that the factor rests on, of all gateways
 * @param ageNanos the time since the last of them was measured or reported, in
 * nanoseconds
 */
public record ServerSpeed(double timeFactor, double deviation, long calls, long ageNanos) {
}
