package org.rosemaryfront.speeds;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * Measured response times of a server, as one gateway reports them to the others.
 *
 * @param server the run of the server
 * @param calls the number of calls measured since the last report
 * @param logRatioSum the sum over these calls of the natural logarithm of the measured
 * time divided by the time expected of a typical server of the service
 */
public record SpeedSample(Incarnation server, int calls, double logRatioSum) {
}
