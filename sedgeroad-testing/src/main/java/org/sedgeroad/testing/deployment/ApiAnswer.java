package org.sedgeroad.testing.deployment;

/**
 * An answer to a caller.
 *
 * @param status HTTP status, 0 if there is no whole answer
 * @param work value of the header {@code X-Work}, empty if missing
 * @param body body, or the reason if there is no whole answer
 */
public record ApiAnswer(int status, String work, String body) {}
