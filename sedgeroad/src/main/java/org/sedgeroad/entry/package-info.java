/** The instance as a whole: wiring, threads, registration, leases, configuration and shutdown. */
package org.sedgeroad.entry;
