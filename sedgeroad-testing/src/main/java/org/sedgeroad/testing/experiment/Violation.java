package org.sedgeroad.testing.experiment;

/**
 * Violation of one of the invariants P1 to P9 of section 1.1 of the design page.
 *
 * @param invariant name of the invariant, {@code P1} to {@code P9}
 * @param detail description of the violation, with the ids used in logs and histories
 */
record Violation(String invariant, String detail) {}
