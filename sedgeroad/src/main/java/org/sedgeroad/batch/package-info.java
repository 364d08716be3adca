/**
 * Batch jobs behind routes: accepted once, run by one instance at a time, with results at fixed
 * positions.
 *
 * <p>A job is an object of kind {@code jobs}; its items lie in objects of kind {@code job-items}.
 * Results are appended to a log of objects of kind {@code job-results}, numbered from 0, each
 * created only if its number is free. An instance appends only after it has read all chunks before,
 * so that each item is listed once, whichever instances believe that they run the job.
 */
package org.sedgeroad.batch;
