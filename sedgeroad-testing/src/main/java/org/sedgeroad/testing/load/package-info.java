/** Load generators: planned arrivals, streamed live requests, batch jobs and measured latencies. */
package org.sedgeroad.testing.load;
