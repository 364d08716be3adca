package org.sedgeroad.testing.deployment;

/**
 * Answer of an entry instance to a caller.
 *
 * @param status HTTP status, 0 if no complete answer was received
 * @param work value of the header {@code X-Work}, empty if the header is missing
 * @param body body of the answer, or the reason of the failure if the status is 0
 */
public record ApiAnswer(int status, String work, String body) {}
