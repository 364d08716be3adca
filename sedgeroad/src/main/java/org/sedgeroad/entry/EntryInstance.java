package org.sedgeroad.entry;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.time.Clock;
import java.time.InstantSource;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.api.ApiDependencies;
import org.sedgeroad.api.ApiHandler;
import org.sedgeroad.api.ApiMonitoring;
import org.sedgeroad.api.StopHandler;
import org.sedgeroad.burn.BurnRecords;
import org.sedgeroad.command.AdministrationListener;
import org.sedgeroad.command.InstanceStatus;
import org.sedgeroad.configuration.ConfigurationReplica;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.configuration.Model;
import org.sedgeroad.engine.EngineClient;
import org.sedgeroad.engine.HttpEngineClient;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.job.JobRunner;
import org.sedgeroad.job.JobRunnerDependencies;
import org.sedgeroad.job.JobService;
import org.sedgeroad.lease.LeaseTable;
import org.sedgeroad.limit.LimitEnforcement;
import org.sedgeroad.limit.ShareCoordinator;
import org.sedgeroad.live.CacheEventReader;
import org.sedgeroad.live.ClaimRegistry;
import org.sedgeroad.live.CrashReportExchange;
import org.sedgeroad.live.LivePressureExchange;
import org.sedgeroad.live.LiveService;
import org.sedgeroad.live.LiveServiceDependencies;
import org.sedgeroad.metric.Metrics;
import org.sedgeroad.metric.RequestObserver;
import org.sedgeroad.peer.MembershipView;
import org.sedgeroad.route.BatchPolicies;
import org.sedgeroad.route.CrashingRequestDetector;
import org.sedgeroad.route.EndpointTable;
import org.sedgeroad.route.HedgePolicies;
import org.sedgeroad.route.PrefixHints;
import org.sedgeroad.route.RoutingPolicies;
import org.sedgeroad.settings.DomainSetting;
import org.sedgeroad.settings.EntrySettings;
import org.sedgeroad.store.HttpObjectStore;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.StoredObject;

/**
 * An entry instance, which serves callers through package api: wires all components, owns the
 * threads, starts the components and stops them in order.
 */
public final class EntryInstance implements AutoCloseable {
  private static final long INSTANCE_LIST_MILLIS = 1_000;
  private static final int RENEWALS_PER_LEASE = 4;
  private static final int STORE_THREADS = 8;

  /** Time between the deadline for the release of batch work and the end of a planned stop. */
  private static final long RELEASE_MARGIN_MILLIS = 1_500;

  private static final int UPLOAD_THREADS = 16;

  private final EntrySettings settings;
  private final EventLog log;
  private final MonotonicClock clock = MonotonicClock.SYSTEM;
  private final Metrics metrics = new Metrics();
  private final BurnRecords burnRecords;
  private final PooledHttpClient httpClient;
  private final EngineClient engine;
  private final ObjectStore store;
  private final ConfigurationReplica replica = new ConfigurationReplica();
  private final EndpointTable endpoints;
  private final PrefixHints prefixHints = new PrefixHints(clock);
  private final LeaseTable leases;
  private final LimitEnforcement limitEnforcement;
  private final ShareCoordinator shareCoordinator;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
  private final ExecutorService storeWorkers =
      new ThreadPoolExecutor(
          STORE_THREADS, STORE_THREADS, 1, TimeUnit.MINUTES, new LinkedBlockingQueue<>());
  private final ThreadPoolExecutor workers;
  private final ThreadPoolExecutor uploadWorkers =
      new ThreadPoolExecutor(0, UPLOAD_THREADS, 30, TimeUnit.SECONDS, new SynchronousQueue<>());
  private final AtomicInteger activeRequests = new AtomicInteger();
  private final ConfigurationRelay relay;
  private final LeaseRenewer leaseRenewer;
  private final InstanceListReader instanceList;
  private final PeerServices peers;
  private final JobRunner runner;
  private final LivePressureExchange livePressure;
  private final CrashReportExchange crashReportExchange;
  private final EndpointStateExchange endpointExchange;
  private final StopHandler requestHandler;
  private final Undertow server;
  private final AdministrationListener administration;
  private final DrainUpdater drainUpdater;
  private volatile boolean stopping;

  /** Creates an instance; {@link #start} starts it. */
  public EntryInstance(EntrySettings settings) {
    this.settings = settings;
    this.log = EventLog.of(settings.instance());
    this.burnRecords = new BurnRecords(settings.instance(), clock, Clock.systemUTC());
    this.httpClient = PooledHttpClient.create(settings.ioThreads());
    this.engine = HttpEngineClient.of(httpClient);
    this.store =
        metrics.measure(
            HttpObjectStore.of(settings.storeAddress(), httpClient, settings.storeTimeoutMillis()));
    this.endpoints = EndpointTable.of(settings.region(), clock);
    this.leases = LeaseTable.ofMillis(settings.leaseMillis());
    this.workers =
        new ThreadPoolExecutor(
            4, settings.workerThreads(), 30, TimeUnit.SECONDS, new SynchronousQueue<>());
    // The holder name differs after each restart, so that a new process never counts as the old
    // holder.
    String holder = settings.instance() + "#" + UUID.randomUUID().toString().substring(0, 8);
    StoreWriter writer = StoreWriter.of(store, holder);
    this.peers = PeerServices.of(settings, clock, log);
    MembershipView membership = peers.membership();
    this.relay = peers.createRelay(store, replica);
    this.limitEnforcement = createLimitEnforcement(holder);
    this.shareCoordinator = limitEnforcement.coordinator(writer);
    this.leaseRenewer =
        new LeaseRenewer(writer, leases, limitEnforcement, settings.domain(), clock, log);
    this.instanceList =
        new InstanceListReader(
            settings.instanceListAddress(),
            httpClient,
            endpoints,
            clock,
            log,
            settings.storeTimeoutMillis());
    this.crashReportExchange = createCrashReportExchange(writer, membership);
    this.runner = createRunner(writer, membership);
    this.livePressure =
        new LivePressureExchange(
            settings.instance(),
            settings.domain(),
            endpoints,
            membership,
            peers.membership()::liveBridges,
            peers.network()::send,
            runner::wake,
            System.currentTimeMillis());
    replica.addListener(crashReportExchange::apply);
    crashReportExchange.registerHandlers(peers.network());
    this.endpointExchange = peers.createEndpointStateExchange(endpoints, livePressure);
    this.requestHandler = createRequestHandler(writer);
    this.server = createServer();
    this.administration = createAdministration(writer);
    this.drainUpdater = new DrainUpdater(settings.instance(), replica, endpoints);
    addObservers(membership);
  }

  private AdministrationListener createAdministration(StoreWriter writer) {
    InstanceStatusReader instances =
        new InstanceStatusReader(
            new InstanceStatus(settings.instance(), settings.domain(), "live"),
            store,
            leases,
            clock,
            peers.membership()::statuses,
            () -> relay.versions().getOrDefault(Kinds.LIMITS, 0L));
    return Administration.create(
        settings,
        writer,
        replica,
        endpoints,
        instances,
        limitEnforcement.votes(writer)::vote,
        burnRecords,
        log);
  }

  private void addObservers(MembershipView membership) {
    InstanceGauges.register(
        metrics,
        replica,
        endpoints,
        () -> leases.isHeld(clock.nanos()),
        this::isReady,
        () -> membership.liveInstances().size(),
        activeRequests::get);
    replica.addListener(this::applyModel);
  }

  private void applyModel(StoredObject object) {
    if (object.kind().equals(Kinds.MODELS) && !object.isDeleted()) {
      Model model = Model.fromSpec(object.name(), object.spec());
      endpoints.setSlots(model.service(), model.slots());
    }
  }

  private CrashReportExchange createCrashReportExchange(
      StoreWriter writer, MembershipView membership) {
    return new CrashReportExchange(
        settings.instance(),
        new CrashingRequestDetector(InstantSource.system()),
        membership,
        peers.network()::send,
        writer,
        clock,
        log);
  }

  private LimitEnforcement createLimitEnforcement(String holder) {
    return new LimitEnforcement(
        settings.instance(),
        holder,
        settings.domain(),
        settings.domains().stream().map(DomainSetting::domain).toList(),
        settings.leaseMillis(),
        leases,
        replica,
        kind -> relay.versions().getOrDefault(kind, 0L),
        peers.network(),
        clock);
  }

  private JobRunner createRunner(StoreWriter writer, MembershipView membership) {
    return new JobRunner(
        new JobRunnerDependencies(
            settings.instance(),
            settings.domain(),
            writer,
            replica,
            endpoints,
            engine,
            BatchPolicies.named(settings.batch()),
            membership,
            leases,
            clock,
            storeWorkers,
            log,
            settings.requestTimeoutMillis(),
            (job, results) -> {
              metrics.committed(job, results);
              burnRecords.committed(job, results);
            },
            crashReportExchange.createCrashGuard(engine)));
  }

  private StopHandler createRequestHandler(StoreWriter writer) {
    LiveService live =
        new LiveService(
            new LiveServiceDependencies(
                endpoints,
                livePressure,
                RoutingPolicies.named(
                    settings.routing(), endpoints.costs(), prefixHints, settings.domain()),
                prefixHints,
                HedgePolicies.named(settings.hedging()),
                crashReportExchange,
                engine,
                limitEnforcement.gate(),
                ClaimRegistry.of(writer),
                clock,
                new java.util.Random(),
                log));
    ApiHandler api =
        new ApiHandler(
            new ApiDependencies(
                replica,
                live,
                JobService.of(writer),
                workers,
                uploadWorkers,
                this::isReady,
                activeRequests,
                clock,
                log,
                settings.requestTimeoutMillis(),
                settings.maximumBodyBytes(),
                new ApiMonitoring(RequestObserver.both(metrics, burnRecords), metrics::toText)));
    return new StopHandler(api);
  }

  private Undertow createServer() {
    return Undertow.builder()
        .addHttpListener(
            settings.callerAddress().getPort(), settings.callerAddress().getHostString())
        .setIoThreads(settings.ioThreads())
        .setWorkerThreads(2)
        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 32 * 1024)
        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 60_000)
        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, 10_000)
        .setHandler(requestHandler)
        .build();
  }

  /** Starts all threads and listeners. */
  public void start() {
    timer.scheduleWithFixedDelay(
        logFailures(instanceList::read), 0, INSTANCE_LIST_MILLIS, TimeUnit.MILLISECONDS);
    timer.scheduleWithFixedDelay(
        logFailures(leaseRenewer::renew),
        0,
        settings.leaseMillis() / RENEWALS_PER_LEASE,
        TimeUnit.MILLISECONDS);
    timer.scheduleWithFixedDelay(
        logFailures(livePressure::removeFailedPeers), 1, 1, TimeUnit.SECONDS);
    timer.scheduleWithFixedDelay(
        logFailures(livePressure::resendToOtherDomains), 1, 1, TimeUnit.SECONDS);
    timer.scheduleWithFixedDelay(
        logFailures(crashReportExchange::publish), 100, 100, TimeUnit.MILLISECONDS);
    if (settings.routing().equals("least-cost-affinity")) {
      CacheEventReader events = new CacheEventReader(httpClient, endpoints, prefixHints, clock);
      timer.scheduleWithFixedDelay(logFailures(events::readNext), 500, 500, TimeUnit.MILLISECONDS);
    }
    endpointExchange.start();
    peers.start();
    relay.start(peers.hasAtMostItselfAsSeed());
    timer.scheduleWithFixedDelay(
        logFailures(() -> shareCoordinator.step(clock.nanos())),
        ShareCoordinator.STEP_MILLIS,
        ShareCoordinator.STEP_MILLIS,
        TimeUnit.MILLISECONDS);
    runner.start();
    server.start();
    administration.start();
    log.log(
        LogEvent.INSTANCE_STARTED,
        EventField.of("domain", settings.domain()),
        EventField.of("callers", settings.callerAddress()));
  }

  /** Returns whether the instance accepts new requests. */
  public boolean isReady() {
    return !stopping
        && !drainUpdater.isDrained()
        && relay.isComplete()
        && !endpoints.endpoints().isEmpty();
  }

  /**
   * Stops in this order: reports not ready, waits for the load balancer to notice, finishes the
   * requests in progress while segments are released, notifies the peers, closes. Takes at most the
   * stop timeout of the settings.
   */
  @Override
  public void close() {
    stopping = true;
    log.log(LogEvent.INSTANCE_STOPPING);
    long releaseDeadline =
        clock.deadlineAfterMillis(settings.stopTimeoutMillis() - RELEASE_MARGIN_MILLIS);
    new StopSequence(clock, log)
        .run(
            requestHandler,
            settings.stopNoticeMillis(),
            settings.stopTimeoutMillis(),
            () -> runner.stop(releaseDeadline),
            peers::leave);
    server.stop();
    administration.close();
    relay.close();
    timer.shutdownNow();
    leaseRenewer.release();
    storeWorkers.shutdownNow();
    workers.shutdownNow();
    uploadWorkers.shutdownNow();
    peers.close();
    httpClient.close();
    log.log(LogEvent.INSTANCE_STOPPED);
  }

  private Runnable logFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException failure) {
        log.log(LogEvent.REQUEST_ERROR, EventField.of("cause", failure));
      }
    };
  }
}
