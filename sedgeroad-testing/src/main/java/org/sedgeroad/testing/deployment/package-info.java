/** Starts deployments as separate processes on one machine, for tests, the demo and experiments. */
package org.sedgeroad.testing.deployment;
