/** Experiments that measure a deployment beside baselines and compare it with the targets. */
package org.sedgeroad.testing.experiment;
