/** The demo, which sends a live request and a batch job to a deployment of separate processes. */
package org.sedgeroad.testing.demo;
