/** The entry instance: wiring, threads and shutdown. */
package org.sedgeroad.entry;
