package org.sedgeroad.testing.experiment;

/**
 * One step of a soak.
 *
 * @param number position in the schedule, from 0
 * @param atMillis start, from the start of the soak
 * @param action what happens
 * @param target number from which the instance, engine, domain or job is chosen
 * @param durationMillis duration of a failure
 */
record SoakStep(int number, long atMillis, SoakAction action, int target, long durationMillis) {}
