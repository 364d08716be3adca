package org.sedgeroad.testing.deployment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sedgeroad.Endpoint;
import org.sedgeroad.EndpointState;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.api.Authenticator;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpResult;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.store.HttpObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.testing.engine.EngineMain;
import org.sedgeroad.testing.platform.PlatformMain;
import org.sedgeroad.testing.service.PlainServiceMain;

/**
 * A complete deployment as separate processes on this machine: the platform stand-in with the
 * store, the endpoint stand-ins and the entry instances. Closing it kills all of them.
 */
public final class Deployment implements AutoCloseable {
  private static final int STAND_IN_HEAP_MEGABYTES = 256;
  private static final long READY_TIMEOUT_MILLIS = 40_000;
  private static final long CALL_TIMEOUT_MILLIS = 5_000;

  /** Token with which operators authenticate in every deployment. */
  public static final String OPERATOR_TOKEN = "operator-token";

  private final ObjectMapper mapper = new ObjectMapper();
  private final DeploymentPlan plan;
  private final Path folder;
  private final PooledHttpClient httpClient = PooledHttpClient.create(1);
  private final List<EndpointProcess> engines = new ArrayList<>();
  private final List<EndpointProcess> serviceEndpoints = new ArrayList<>();
  private final List<EntryProcess> entries = new ArrayList<>();
  private ChildProcess platform;
  private URI store;

  private Deployment(DeploymentPlan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
  }

  /**
   * Starts a deployment and waits until each entry instance is ready.
   *
   * @throws IllegalStateException if a process does not start or get ready in time
   */
  public static Deployment start(DeploymentPlan plan) {
    return start(plan, (domain, address) -> address);
  }

  /**
   * Starts a deployment whose entry instances reach the store through other addresses, for example
   * through proxies.
   *
   * @param storeRoute returns the store address for the instances of a failure domain
   * @throws IllegalStateException if a process does not start or get ready in time
   */
  public static Deployment start(DeploymentPlan plan, StoreRoute storeRoute) {
    try {
      Deployment deployment = new Deployment(plan, Files.createTempDirectory("sedgeroad-"));
      try {
        deployment.startAll(storeRoute);
        return deployment;
      } catch (RuntimeException failure) {
        deployment.close();
        throw failure;
      }
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Chooses the address at which a failure domain reaches the store. */
  @FunctionalInterface
  public interface StoreRoute {
    /** Returns the address for a failure domain, given the real address of the store. */
    URI route(String domain, URI store);
  }

  /** Returns the plan. */
  public DeploymentPlan plan() {
    return plan;
  }

  /** Returns the address of the store. */
  public URI store() {
    return store;
  }

  /** Returns the model engines. */
  public List<EndpointProcess> engines() {
    return engines;
  }

  /** Returns the endpoints of the plain service. */
  public List<EndpointProcess> serviceEndpoints() {
    return serviceEndpoints;
  }

  /** Returns the entry instances. */
  public List<EntryProcess> entries() {
    return entries;
  }

  /** Returns the folder that holds the settings and logs of the processes. */
  public Path folder() {
    return folder;
  }

  /** Returns the HTTP client of this deployment, which is closed together with it. */
  public PooledHttpClient httpClient() {
    return httpClient;
  }

  /** Returns an API client of an entry instance that uses the member's key. */
  public ApiClient client(EntryProcess entry) {
    return new ApiClient(httpClient, entry.callerAddress(), plan.key());
  }

  /** Returns an API client of the entry instance at an index of {@link #entries}. */
  public ApiClient client(int index) {
    return client(entries.get(index));
  }

  /**
   * Sends a control call to a stand-in.
   *
   * @param body a JSON object
   * @throws IllegalStateException if the call fails or is answered with status 300 or above
   */
  public void control(URI standIn, String path, String body) {
    HttpResult result =
        httpClient.send(
            HttpCall.of(
                "POST",
                standIn.resolve(path),
                body.getBytes(StandardCharsets.UTF_8),
                MonotonicClock.SYSTEM.deadlineAfterMillis(CALL_TIMEOUT_MILLIS)));
    if (!(result instanceof HttpResult.Answered answered) || answered.head().status() >= 300) {
      throw new IllegalStateException("control call " + path + " failed: " + result);
    }
  }

  /** Sends a GET and returns the body of the answer, empty if there was no complete answer. */
  public String read(URI address) {
    HttpResult result =
        httpClient.send(
            HttpCall.get(address, MonotonicClock.SYSTEM.deadlineAfterMillis(CALL_TIMEOUT_MILLIS)));
    return result instanceof HttpResult.Answered answered
        ? new String(answered.body(), StandardCharsets.UTF_8)
        : "";
  }

  /**
   * Replaces an endpoint in the instance list of the platform stand-in. The platform calls
   * endpoints instances.
   */
  public void updateEndpoint(Endpoint endpoint) {
    registerEndpoints(List.of(endpoint));
  }

  /**
   * Waits until an entry instance is ready.
   *
   * @throws IllegalStateException if it isn't ready within 40 s or its process has ended
   */
  public void awaitReady(EntryProcess entry) {
    long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(READY_TIMEOUT_MILLIS);
    while (!read(entry.callerAddress().resolve("/readyz")).startsWith("ready")) {
      if (MonotonicClock.SYSTEM.hasPassed(deadline) || !entry.process().isAlive()) {
        throw new IllegalStateException(entry.name() + " is not ready; log in " + folder);
      }
      pause();
    }
  }

  @Override
  public void close() {
    entries.forEach(EntryProcess::close);
    engines.forEach(engine -> engine.process().close());
    serviceEndpoints.forEach(service -> service.process().close());
    if (platform != null) {
      platform.close();
    }
    httpClient.close();
  }

  private void startAll(StoreRoute storeRoute) throws IOException {
    platform =
        ChildProcess.start(
            "platform",
            folder,
            STAND_IN_HEAP_MEGABYTES,
            PlatformMain.class,
            List.of("--port", "0"));
    List<StartingStandIn> started = new ArrayList<>();
    for (DomainPlan domain : plan.domains()) {
      for (int index = 1; index <= domain.engines(); index++) {
        started.add(startEngine(domain, plan.model() + "-" + domain.name() + "-" + index));
      }
      for (int index = 1; index <= domain.services(); index++) {
        started.add(startService(domain, plan.service() + "-" + domain.name() + "-" + index));
      }
    }
    store = platform.awaitAddress();
    started.forEach(StartingStandIn::register);
    registerEndpoints(
        Stream.concat(engines.stream(), serviceEndpoints.stream())
            .map(EndpointProcess::endpoint)
            .toList());
    createMemberAndModels();
    startEntries(storeRoute);
    entries.forEach(this::awaitReady);
  }

  private StartingStandIn startEngine(DomainPlan domain, String name) {
    List<String> arguments = new ArrayList<>();
    arguments.addAll(
        List.of(
            "--port",
            "0",
            "--name",
            name,
            "--model",
            plan.model(),
            "--slots",
            Integer.toString(plan.slots())));
    arguments.addAll(plan.engineOptions());
    return new StartingStandIn(
        ChildProcess.start(name, folder, STAND_IN_HEAP_MEGABYTES, EngineMain.class, arguments),
        plan.model(),
        domain,
        engines);
  }

  private StartingStandIn startService(DomainPlan domain, String name) {
    return new StartingStandIn(
        ChildProcess.start(
            name,
            folder,
            STAND_IN_HEAP_MEGABYTES,
            PlainServiceMain.class,
            List.of("--port", "0", "--name", name)),
        plan.service(),
        domain,
        serviceEndpoints);
  }

  /** An endpoint stand-in that has been started but not yet added to the list it belongs to. */
  private record StartingStandIn(
      ChildProcess process, String service, DomainPlan domain, List<EndpointProcess> list) {
    void register() {
      list.add(
          new EndpointProcess(
              new Endpoint(
                  process.name(),
                  service,
                  process.awaitAddress(),
                  domain.name(),
                  domain.region(),
                  EndpointState.LIVE),
              process));
    }
  }

  private void registerEndpoints(List<Endpoint> endpoints) {
    ObjectNode body = mapper.createObjectNode();
    ArrayNode set = body.putArray("set");
    for (Endpoint endpoint : endpoints) {
      set.addObject()
          .put("name", endpoint.name())
          .put("service", endpoint.service())
          .put("address", endpoint.address().toString())
          .put("domain", endpoint.domain())
          .put("region", endpoint.region())
          .put("state", endpoint.state().name().toLowerCase(java.util.Locale.ROOT));
    }
    control(store, "/control/instances", body.toString());
  }

  private void createMemberAndModels() {
    HttpObjectStore objects = HttpObjectStore.of(store, httpClient, CALL_TIMEOUT_MILLIS);
    ObjectNode member = mapper.createObjectNode();
    member.putArray("keys").add(Authenticator.hashKey(plan.key()));
    create(objects, Kinds.MEMBERS, plan.member(), member);
    ObjectNode model = mapper.createObjectNode();
    model.put("service", plan.model()).put("kind", "engine").put("slots", plan.slots());
    create(objects, Kinds.MODELS, plan.model(), model);
    ObjectNode service = mapper.createObjectNode();
    service.put("service", plan.service()).put("kind", "plain");
    service.put("path_prefix", "/" + plan.service()).put("slots", 64);
    create(objects, Kinds.MODELS, plan.service(), service);
  }

  private static void create(HttpObjectStore objects, String kind, String name, ObjectNode spec) {
    StoreResult<?> result = objects.create(kind, name, spec);
    if (!(result instanceof StoreResult.Done)) {
      throw new IllegalStateException("cannot create " + kind + "/" + name + ": " + result);
    }
  }

  private void startEntries(StoreRoute storeRoute) throws IOException {
    int count = plan.domains().stream().mapToInt(DomainPlan::entries).sum();
    List<Integer> ports = freePorts(count * 3);
    Path token = Files.writeString(folder.resolve("operator-token"), OPERATOR_TOKEN);
    String seeds =
        ports.subList(0, count).stream()
            .map(port -> "127.0.0.1:" + port)
            .collect(Collectors.joining(", "));
    String domains =
        plan.domains().stream()
            .map(domain -> domain.name() + ":" + domain.region())
            .collect(Collectors.joining(", "));
    // The first third of the ports is for peers, the second for callers, the last for operators.
    int next = 0;
    for (DomainPlan domain : plan.domains()) {
      for (int index = 1; index <= domain.entries(); index++) {
        String name = domain.name() + "-" + index;
        int callerPort = ports.get(count + next);
        int operatorPort = ports.get(2 * count + next);
        Map<String, String> values = new LinkedHashMap<>();
        values.put("instance.name", name);
        values.put("instance.domain", domain.name());
        values.put("instance.region", domain.region());
        values.put("listen.callers", "127.0.0.1:" + callerPort);
        values.put("listen.operators", "127.0.0.1:" + operatorPort);
        values.put("listen.peers", "127.0.0.1:" + ports.get(next));
        values.put("peers.seeds", seeds);
        values.put("peers.domains", domains);
        values.put("store.address", storeRoute.route(domain.name(), store).toString());
        values.put("operators.token-file", token.toString());
        values.putAll(plan.settings());
        Path settings = Files.writeString(folder.resolve(name + ".ini"), toIni(values));
        EntryProcess entry =
            new EntryProcess(name, domain.name(), folder, settings, callerPort, operatorPort);
        entry.start();
        entries.add(entry);
        next++;
      }
    }
  }

  private static String toIni(Map<String, String> values) {
    Map<String, StringBuilder> sections = new LinkedHashMap<>();
    values.forEach(
        (key, value) -> {
          int dot = key.indexOf('.');
          sections
              .computeIfAbsent(key.substring(0, dot), section -> new StringBuilder())
              .append(key.substring(dot + 1))
              .append(" = ")
              .append(value)
              .append('\n');
        });
    StringBuilder text = new StringBuilder();
    sections.forEach(
        (section, lines) -> text.append('[').append(section).append("]\n").append(lines));
    return text.toString();
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int index = 0; index < count; index++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return sockets.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(50);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
