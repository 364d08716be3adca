package org.sedgeroad.testing.experiment;

/** Targets of the figures, from section 1.8 of the design page. */
final class Targets {
  static final double INTERFERENCE_RATIO = 1.10;
  static final double BATCH_FRACTION_OF_CAPACITY = 0.85;
  static final double BURST_WAIT_MILLIS = 100;
  static final double HEAD_OF_LINE_RATIO = 1.20;
  static final double STRAGGLER_RATIO = 1.50;
  static final double EXTRA_WORK = 0.05;
  static final double LIMIT_IN_FORCE_SECONDS = 2;
  static final double TAKEOVER_SECONDS = 10;
  static final double DRAIN_SECONDS = 3;
  static final double OVERHEAD_MILLIS = 1;
  static final double LINK_RATIO = 1.05;
  static final double CONTROL_CORE_PERCENT = 1.7;
  static final double ZERO = 0;

  private Targets() {}
}
