package org.sedgeroad.testing.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import org.sedgeroad.EventLoop;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.gateway.ServiceEndpoint;
import org.sedgeroad.placement.Dispatcher;
import org.sedgeroad.placement.LiveDemand;
import org.sedgeroad.presence.EndpointTotal;
import org.sedgeroad.presence.FleetLoad;
import org.sedgeroad.presence.HubExchange;
import org.sedgeroad.presence.LoadReport;
import org.sedgeroad.presence.LoadReportTable;
import org.sedgeroad.presence.LoadSummary;
import org.sedgeroad.presence.LoadTotals;
import org.sedgeroad.presence.Occupancy;
import org.sedgeroad.presence.ReporterState;

/**
 * Measures the processor time that an instance needs to know the loads of 9, 80 and 410 instances,
 * without input and output: to receive a load message, and to place what waits. The baseline is the
 * exchange in which each instance reports to all others.
 */
final class ExchangeExperiment implements Experiment {
  private static final String SERVICE = "engine";
  private static final int SLOTS = 8;
  private static final int WAITING = 4;
  private static final int MESSAGES = 3_000;

  /** Reports of each instance in a second if it reports to all others. */
  private static final double DIRECT_REPORTS_PER_SECOND = 20;

  /** Summaries of both hubs in a second. */
  private static final double SUMMARIES_PER_SECOND = 50;

  private record Size(int instances, int domains, int endpoints) {}

  private static final List<Size> SIZES =
      List.of(new Size(9, 3, 8), new Size(80, 6, 31), new Size(410, 13, 400));

  private static final EventLoop LOOP =
      new EventLoop() {
        @Override
        public void execute(Runnable task) {}

        @Override
        public Timeout scheduleAt(long deadlineNanos, Runnable task) {
          return Timeout.NONE;
        }
      };

  @Override
  public ExperimentResult run(Bench bench) {
    Map<String, Double> figures = new LinkedHashMap<>();
    Map<String, Double> baseline = new LinkedHashMap<>();
    for (Size size : SIZES) {
      bench.printProgress(size.instances() + " instances");
      double summary = microsPerMessage(hubs(size));
      double report = microsPerMessage(direct(size));
      figures.put("summary-micros-" + size.instances(), summary);
      figures.put("core-percent-" + size.instances(), summary * SUMMARIES_PER_SECOND / 1e4);
      baseline.put("report-micros-" + size.instances(), report);
      baseline.put(
          "core-percent-" + size.instances(),
          report * DIRECT_REPORTS_PER_SECOND * (size.instances() - 1) / 1e4);
    }
    return new ExperimentResult(
        "exchange",
        bench.seed(),
        Figure.atMost(figures, Map.of("core-percent-410", Targets.CONTROL_CORE_PERCENT)),
        Map.of("direct", baseline),
        List.of("an instance that is no hub, with " + WAITING + " waiting live requests"),
        List.of());
  }

  /** Returns the processor time of a message in microseconds, after the code has warmed up. */
  private static double microsPerMessage(IntConsumer receive) {
    for (int number = 0; number < MESSAGES; number++) {
      receive.accept(number);
    }
    long start = System.nanoTime();
    for (int number = MESSAGES; number < 2 * MESSAGES; number++) {
      receive.accept(number);
    }
    return (System.nanoTime() - start) / 1e3 / MESSAGES;
  }

  /** Returns a receiver of reports of all other instances in turn. */
  private static IntConsumer direct(Size size) {
    LoadReportTable table = new LoadReportTable();
    Dispatcher dispatcher = dispatcher(size, table);
    return number -> {
      int sender = number % (size.instances() - 1);
      Map<String, Occupancy> work = new HashMap<>();
      for (int endpoint = 0; endpoint < size.endpoints(); endpoint++) {
        if (endpoint % (size.instances() - 1) == sender || size.instances() > size.endpoints()) {
          work.put("e" + endpoint, new Occupancy(2 * SLOTS, 1 + number % 2));
        }
      }
      LoadReport report =
          new LoadReport(
              "i" + sender, 1, number + 1, 1, 1, 0, Map.of(), Map.of(), work, Map.of(), false);
      table.receive(report, MonotonicClock.SYSTEM.nanos());
      dispatcher.refresh();
      if (number == size.instances()) {
        submitWaiting(dispatcher);
      }
    };
  }

  /** Returns a receiver of summaries of the fleet. */
  private static IntConsumer hubs(Size size) {
    Dispatcher[] dispatcher = new Dispatcher[1];
    HubExchange exchange =
        new HubExchange(
            "own",
            "d0",
            1,
            () -> Map.of("hub", "d0"),
            (message, names) -> {},
            LOOP,
            MonotonicClock.SYSTEM,
            () -> dispatcher[0].refresh());
    dispatcher[0] = dispatcher(size, exchange.view());
    return number -> {
      Map<String, EndpointTotal> endpoints = new HashMap<>();
      for (int endpoint = 0; endpoint < size.endpoints(); endpoint++) {
        endpoints.put("e" + endpoint, new EndpointTotal(2 * SLOTS, 1 + number % 2, "i1"));
      }
      Map<String, ReporterState> reporters = new HashMap<>();
      for (int member = 0; member < size.instances() / size.domains(); member++) {
        reporters.put("i" + member, new ReporterState(1, number + 1, 10, false));
      }
      exchange.receive(
          new LoadSummary(
              LoadSummary.Scope.FLEET,
              "hub",
              "d0",
              1,
              number + 1,
              new LoadTotals(size.instances(), 1, 1, 0, Map.of(), Map.of(), endpoints, Map.of()),
              reporters));
      if (number == size.instances()) {
        submitWaiting(dispatcher[0]);
      }
    };
  }

  /** Returns a dispatcher with waiting requests and endpoints that are full. */
  private static Dispatcher dispatcher(Size size, FleetLoad fleetLoad) {
    Dispatcher dispatcher =
        new Dispatcher(
            "own", "d0", domain -> "region", fleetLoad, MonotonicClock.SYSTEM, () -> 0.5);
    List<ServiceEndpoint> endpoints = new ArrayList<>();
    for (int number = 0; number < size.endpoints(); number++) {
      String domain = "d" + number % size.domains();
      endpoints.add(
          new ServiceEndpoint("e" + number, SERVICE, "10.0.0.1:" + number, domain, SLOTS, false));
    }
    dispatcher.setEndpoints(endpoints, List.of());
    return dispatcher;
  }

  /** Submits requests that find all endpoints full. */
  private static void submitWaiting(Dispatcher dispatcher) {
    long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(1_000_000);
    for (int number = 0; number < WAITING; number++) {
      dispatcher.submit(
          LiveDemand.of(SERVICE, "", 0, deadline, deadline, Set.of(), endpoint -> {}));
    }
  }
}
