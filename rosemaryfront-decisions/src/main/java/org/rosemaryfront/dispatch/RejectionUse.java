package org.rosemaryfront.dispatch;

/**
 * What a process reports about the rejections of a server.
 *
 * @param limit the rejections per second that the server withstands
 * @param count the requests of the process that it has rejected so far
 */
public record RejectionUse(double limit, int count) {
}
