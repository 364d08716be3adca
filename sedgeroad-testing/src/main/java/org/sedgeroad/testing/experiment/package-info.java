/**
 * Experiments that measure deployments and baselines, compare the figures with targets, and check
 * the invariants.
 */
package org.sedgeroad.testing.experiment;
