package org.sedgeroad.testing.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.net.URI;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.sedgeroad.Endpoint;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.testing.http.Answers;
import org.sedgeroad.testing.http.StandInServer;

/**
 * Stand-in for the platform, with the object API, the instance list and a control API that sets
 * faults.
 *
 * <p>All data is held in memory. Thread-safe.
 */
public final class PlatformStandIn implements AutoCloseable {
  private static final long REFUSAL_DELAY_MILLIS = 20;

  private final ObjectTable table;
  private final InstanceTable instances;
  private final PlatformFaults faults;
  private final PlatformCounters counters = new PlatformCounters();
  private final ObjectHandler objects;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "platform-timer");
            thread.setDaemon(true);
            return thread;
          });
  private final StandInServer server;
  private long outageNumber;

  private PlatformStandIn(PlatformOptions options) {
    table = new ObjectTable(options.replayChanges());
    instances = new InstanceTable(MonotonicClock.SYSTEM, options.instanceLagMillis());
    faults = new PlatformFaults(MonotonicClock.SYSTEM, options.seed());
    faults.limitRates(options.writesPerSecond(), options.readsPerSecond());
    objects = new ObjectHandler(table, faults, counters);
    PlatformControl control = new PlatformControl(this);
    server = StandInServer.start(options.port(), exchange -> route(exchange, control));
  }

  /** Starts a stand-in on any free port, without limits or faults. */
  public static PlatformStandIn start() {
    return start(PlatformOptions.DEFAULTS);
  }

  /** Starts a stand-in. */
  public static PlatformStandIn start(PlatformOptions options) {
    return new PlatformStandIn(options);
  }

  /** Returns the address, {@code http://127.0.0.1:PORT}. */
  public URI address() {
    return server.address();
  }

  /**
   * Limits the numbers of writes and reads of the object API per second; 0 means no limit. The
   * start of a watch counts as a read.
   */
  public void limitRates(double writesPerSecond, double readsPerSecond) {
    faults.limitRates(writesPerSecond, readsPerSecond);
  }

  /**
   * Starts or ends an outage of the object API. The connections of watches are closed at its start,
   * unless the mode is {@link OutageMode#HANG}; those of calls left without an answer are closed at
   * the end of a hang.
   *
   * @param mode behaviour during the outage; {@link OutageMode#NONE} ends it
   * @param includeInstances whether the instance list fails as well
   */
  public synchronized void setOutage(OutageMode mode, boolean includeInstances) {
    outageNumber++;
    faults.setOutage(mode, includeInstances);
    if (mode == OutageMode.REFUSE) {
      server.refuseConnections();
    } else {
      server.acceptConnections();
    }
    if (mode == OutageMode.UNAVAILABLE) {
      objects.cutWatches();
    }
    if (mode != OutageMode.HANG) {
      objects.dropHanging();
    }
  }

  /**
   * Starts an outage that ends after the given milliseconds, unless another call changes it before.
   */
  public synchronized void setOutageFor(OutageMode mode, boolean includeInstances, long millis) {
    setOutage(mode, includeInstances);
    long number = outageNumber;
    timer.schedule(() -> endOutage(number), millis, TimeUnit.MILLISECONDS);
  }

  /** Ends the outage with the given number unless another call has changed it meanwhile. */
  private synchronized void endOutage(long number) {
    if (outageNumber == number) {
      setOutage(OutageMode.NONE, false);
    }
  }

  /** Refuses connections after a short delay, so that the control call itself is answered. */
  void refuseAfterAnswer(boolean includeInstances, long millis) {
    timer.schedule(
        () -> setOutageFor(OutageMode.REFUSE, includeInstances, millis),
        REFUSAL_DELAY_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Delays each call of the object API by the given milliseconds plus a random time of up to the
   * jitter.
   */
  public void setDelay(long millis, long jitterMillis) {
    faults.setDelay(millis, jitterMillis);
  }

  /**
   * Loses the answers to writes that took effect.
   *
   * @param next number of next writes whose answers are lost
   * @param probability probability that the answer to a later write is lost, from 0 to 1
   * @param kind kind of the objects whose writes are affected, empty for all kinds
   * @param hang whether the connection stays open without an answer instead of being closed
   */
  public void loseAnswers(long next, double probability, String kind, boolean hang) {
    faults.loseAnswers(next, probability, kind, hang);
  }

  /**
   * Discards all but the given number of most recent changes, so that watches from earlier versions
   * get status 410.
   */
  public void discardChanges(int kept) {
    table.discardChanges(kept);
  }

  /** Closes the connections of all watches without ending their answers. */
  public void cutWatches() {
    objects.cutWatches();
  }

  /** Sets the lag of the instance list in milliseconds. */
  public void setInstanceLag(long millis) {
    instances.setLagMillis(millis);
  }

  /** Adds or replaces instances, then removes others by name. */
  public void changeInstances(Collection<Endpoint> added, Collection<String> removed) {
    instances.change(added, removed);
  }

  /** Returns the accepted writes after a store version, in order of their versions. */
  public List<AcceptedWrite> acceptedWrites(long afterVersion) {
    return table.acceptedWrites(afterVersion);
  }

  /** Returns the counters since the start, as in {@code GET /control/counters}. */
  public ObjectNode counters() {
    return counters.toJson();
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
  }

  private void route(HttpServerExchange exchange, PlatformControl control) {
    String path = exchange.getRequestPath();
    if (path.startsWith("/control/")) {
      control.handle(exchange);
    } else if (path.equals("/instances")) {
      Answers.receiveBytes(exchange, body -> sendInstances(exchange));
    } else {
      Answers.receiveBytes(exchange, body -> objects.handle(exchange, body));
    }
  }

  private void sendInstances(HttpServerExchange exchange) {
    counters.instanceReads.increment();
    OutageMode outage = faults.instanceOutage();
    if (outage == OutageMode.HANG) {
      objects.hang(exchange);
      return;
    }
    if (outage != OutageMode.NONE) {
      Answers.sendError(exchange, 503, "outage");
      return;
    }
    InstanceTable.Snapshot shown = instances.shown();
    ObjectNode root = Answers.MAPPER.createObjectNode();
    root.put("version", shown.version());
    ArrayNode list = root.putArray("instances");
    shown.instances().forEach(endpoint -> list.add(InstanceEntry.toJson(endpoint)));
    Answers.send(exchange, 200, root);
  }
}
