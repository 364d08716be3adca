package org.sedgeroad.placement;

import java.util.List;

/**
 * Speeds of the simulated engines and how live requests are placed.
 *
 * @param slowness times for a step of the work at the engines relative to the usual one; repeated
 *     if there are more engines
 * @param policy choice of engines for live requests
 */
record SimulatedSpeeds(List<Double> slowness, LivePolicy policy) {
  /** Engines of equal speed. */
  static final SimulatedSpeeds EQUAL = new SimulatedSpeeds(List.of(1.0), LivePlacement::choose);

  /** Two thirds of the engines are 2.4 times as fast as the others. */
  static final SimulatedSpeeds UNEVEN =
      new SimulatedSpeeds(List.of(0.7, 0.7, 1.7), LivePlacement::choose);

  /** The same engines with the placement that does not know speeds. */
  static final SimulatedSpeeds UNEVEN_UNKNOWN =
      new SimulatedSpeeds(UNEVEN.slowness(), SlotWeightedPlacement::choose);

  /** The same engines with a placement that is told the speeds. */
  static final SimulatedSpeeds UNEVEN_TOLD =
      new SimulatedSpeeds(
          UNEVEN.slowness(),
          (loads, deferrable, times, random) ->
              LivePlacement.choose(
                  loads.stream().map(load -> told(load, UNEVEN.slowness())).toList(),
                  deferrable,
                  times,
                  random));

  /** Returns the slowness of an engine with a number at the end of its name. */
  double of(String engine) {
    return of(engine, slowness);
  }

  private static double of(String engine, List<Double> slowness) {
    int number = Integer.parseInt(engine.substring(engine.indexOf('-') + 1));
    return slowness.get(number % slowness.size());
  }

  private static EndpointLoad told(EndpointLoad load, List<Double> slowness) {
    return new EndpointLoad(
        load.endpoint(),
        load.distance(),
        load.live(),
        load.batch(),
        load.ownBatch(),
        load.suspect(),
        load.allowance(),
        of(load.endpoint().name(), slowness) / slowness.get(0));
  }
}
