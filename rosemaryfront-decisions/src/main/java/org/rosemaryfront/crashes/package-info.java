/**
 * Detection and quarantine of requests that crash backend servers: identification of a
 * request independently of its sender's request id, evidence of crashes, and the decision
 * whether the request may be sent.
 */
package org.rosemaryfront.crashes;
