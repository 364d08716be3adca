package org.sedgeroad.testing.experiment;

/**
 * A violated invariant of section 1.1 of the design page.
 *
 * @param invariant P1 to P9
 * @param detail what was violated, with the ids that logs and histories use
 */
record Violation(String invariant, String detail) {}
