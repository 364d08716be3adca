/**
 * Batch jobs submitted to batch routes. Each job is accepted once and run by one instance at a
 * time, and each result keeps its position in the job's result log.
 *
 * <p>A job is stored as an object of kind {@code jobs}, and its items as objects of kind {@code
 * job-items}. Results are appended to a log of chunks. Each chunk is an object of kind {@code
 * job-results}, numbered from 0, which is created only if its number is free. An instance appends a
 * chunk only after it has read all earlier ones. Each item therefore has at most one result in the
 * log, even if several instances run the job at the same time, for example after a takeover from an
 * instance that was only frozen.
 */
package org.sedgeroad.batch;
