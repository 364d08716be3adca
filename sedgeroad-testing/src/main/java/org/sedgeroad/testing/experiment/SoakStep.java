package org.sedgeroad.testing.experiment;

/**
 * One step in the schedule of a soak.
 *
 * @param number position in the schedule, from 0
 * @param atMillis start of the step in milliseconds after the start of the soak
 * @param action action of the step
 * @param target number from 0 to 999 that selects the instance, engine, domain, job, job size or
 *     limit
 * @param durationMillis duration of a failure in milliseconds, unused by other actions
 */
record SoakStep(int number, long atMillis, SoakAction action, int target, long durationMillis) {}
