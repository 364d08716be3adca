package org.sedgeroad.testing.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Static methods that generate the schedule of a soak, which depends only on seed and length. */
final class SoakSchedule {
  private static final int MIN_GAP_MILLIS = 400;
  private static final int MAX_GAP_MILLIS = 1_600;
  private static final int MIN_DURATION_MILLIS = 500;

  /** Exceeds the lease of 6 s, so that some pauses and disconnections outlast it. */
  private static final int MAX_DURATION_MILLIS = 9_000;

  /** Number of jobs submitted first, so that the first failures happen during batch work. */
  private static final int INITIAL_JOBS = 2;

  private SoakSchedule() {}

  /** Returns the steps in ascending order of their start. */
  static List<SoakStep> of(long seed, int seconds) {
    SplittableRandom random = new SplittableRandom(seed);
    SoakAction[] actions = SoakAction.values();
    List<SoakStep> steps = new ArrayList<>();
    long at = 0;
    while (at < seconds * 1_000L) {
      SoakAction drawn = actions[random.nextInt(actions.length)];
      SoakAction action = steps.size() < INITIAL_JOBS ? SoakAction.SUBMIT_JOB : drawn;
      int target = random.nextInt(1_000);
      // Squaring makes short failures frequent while long ones still occur.
      double fraction = Math.pow(random.nextDouble(), 2);
      long duration =
          MIN_DURATION_MILLIS + (long) (fraction * (MAX_DURATION_MILLIS - MIN_DURATION_MILLIS));
      steps.add(new SoakStep(steps.size(), at, action, target, duration));
      at += random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }
    return steps;
  }
}
