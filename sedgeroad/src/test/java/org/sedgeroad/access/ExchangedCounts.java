package org.sedgeroad.access;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.sedgeroad.placement.PossibleSenders;
import org.sedgeroad.presence.Confirmation;
import org.sedgeroad.presence.FleetDetails;
import org.sedgeroad.presence.HubExchange;
import org.sedgeroad.presence.LoadMessage;
import org.sedgeroad.presence.LoadReport;
import org.sedgeroad.presence.WorkspaceLoad;

/** The product's gate on the product's exchange of loads, over a simulated network. */
final class ExchangedCounts implements QuotaSimulation.Scheme {
  private static final double NETWORK_MILLIS = 12;

  private final QuotaSimulation simulation;
  private final Map<String, Integer> numbers = new LinkedHashMap<>();
  private final Process[] processes;
  private long messages;

  ExchangedCounts(QuotaSimulation simulation) {
    this.simulation = simulation;
    this.processes = new Process[simulation.instances];
    for (int number = 0; number < simulation.instances; number++) {
      numbers.put("i" + number, number);
    }
    for (int number = 0; number < simulation.instances; number++) {
      restart(number);
    }
  }

  @Override
  public void take(int instance, Consumer<Boolean> decision) {
    Process process = processes[instance];
    boolean taken =
        process.gate.allows(simulation.workspace) && process.gate.take(simulation.workspace);
    if (taken) {
      process.reportSoon();
    }
    decision.accept(taken);
  }

  @Override
  public double retryMillis(int instance) {
    return (processes[instance].gate.retryAtNanos(simulation.workspace) - simulation.time.nanos())
        / 1e6;
  }

  @Override
  public void restart(int instance) {
    processes[instance] = new Process(instance);
    processes[instance].tick();
  }

  /** Returns all load messages, which are sent with and without quotas. */
  @Override
  public long messages() {
    return messages;
  }

  @Override
  public long storeCalls() {
    return 0;
  }

  private Map<String, String> domainsOfOthers(int number) {
    Map<String, String> domains = new HashMap<>();
    numbers.forEach((name, other) -> domains.put(name, "d" + simulation.domain(other)));
    domains.remove("i" + number);
    return domains;
  }

  private final class Process {
    private final int number;
    private final long incarnation = simulation.random.nextLong(Long.MAX_VALUE);
    private final Map<String, String> others;
    private final HubExchange hubs;
    private final FleetQuotaGate gate;
    private boolean reportScheduled;

    Process(int number) {
      this.number = number;
      this.others = domainsOfOthers(number);
      String domain = "d" + simulation.domain(number);
      this.hubs =
          new HubExchange(
              "i" + number,
              domain,
              incarnation,
              () -> others,
              this::send,
              simulation.time,
              simulation.time,
              () -> {});
      hubs.retainCounts(QuotaSimulation.WINDOW_MILLIS);
      this.gate =
          new FleetQuotaGate(
              new PossibleSenders("i" + number, domain, () -> others),
              hubs.view(),
              QuotaSimulation.SETTINGS,
              simulation.time,
              simulation.random::nextDouble);
    }

    private boolean isRunning() {
      return processes[number] == this && !simulation.frozen.getOrDefault(number, false);
    }

    private void tick() {
      if (processes[number] != this) {
        return;
      }
      if (isRunning()) {
        hubs.tick();
        gate.update(others.size());
        report();
      }
      double offset = simulation.now() < 1 ? simulation.random.nextDouble() : 1;
      simulation.time.after(HubExchange.TICK_MILLIS * offset, this::tick);
    }

    private void reportSoon() {
      if (!reportScheduled) {
        reportScheduled = true;
        simulation.time.after(
            5,
            () -> {
              reportScheduled = false;
              if (isRunning()) {
                report();
              }
            });
      }
    }

    private void report() {
      Map<String, WorkspaceLoad> loads = new HashMap<>();
      gate.reportedCounts()
          .forEach((name, count) -> loads.put(name, new WorkspaceLoad(count, 0, 0)));
      FleetDetails details =
          new FleetDetails(
              Confirmation.NONE,
              gate.reportedHistoryMillis(),
              gate.reportedCompleteHistories(),
              loads,
              Map.of());
      hubs.report(
          new LoadReport(
              "i" + number,
              incarnation,
              0,
              0,
              0,
              0,
              Map.of(),
              Map.of(),
              Map.of(),
              Map.of(),
              false,
              details));
    }

    private void send(LoadMessage message, Collection<String> names) {
      for (String name : names) {
        int to = numbers.get(name);
        messages++;
        if (!simulation.cut.test(number, to)) {
          simulation.time.after(
              NETWORK_MILLIS * (0.5 + simulation.random.nextDouble()),
              () -> {
                if (processes[to].isRunning()) {
                  processes[to].hubs.receive(message);
                }
              });
        }
      }
    }
  }
}
