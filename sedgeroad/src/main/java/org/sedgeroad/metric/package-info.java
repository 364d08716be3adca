/** Metrics in the Prometheus text format. */
package org.sedgeroad.metric;
