package org.sedgeroad.entry;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.announcement.AnnouncementTable;
import org.sedgeroad.announcement.EndpointAnnouncements;
import org.sedgeroad.announcement.VersionedAnnouncement;
import org.sedgeroad.batch.BatchDependencies;
import org.sedgeroad.batch.JobStore;
import org.sedgeroad.batch.OwnedJobRunner;
import org.sedgeroad.batch.OwnedJobService;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.exchange.ChangeExchange;
import org.sedgeroad.gateway.AnnouncementReceiver;
import org.sedgeroad.gateway.Gateway;
import org.sedgeroad.gateway.GatewayDependencies;
import org.sedgeroad.gateway.RouteTableHolder;
import org.sedgeroad.http.IoEventLoop;
import org.sedgeroad.http.PooledHttpClient;
import org.sedgeroad.metric.GatewayMetrics;
import org.sedgeroad.placement.AnnouncedRestrictions;
import org.sedgeroad.placement.Dispatcher;
import org.sedgeroad.presence.HubExchange;
import org.sedgeroad.presence.LoadExchange;
import org.sedgeroad.presence.LoadReport;
import org.sedgeroad.presence.LoadTotals;
import org.sedgeroad.settings.GatewaySettings;
import org.sedgeroad.settings.GatewaySettingsReload;
import org.sedgeroad.store.KindWatcher;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreWriter;
import org.sedgeroad.store.WatchPace;
import org.sedgeroad.suspicion.CrashSeries;
import org.sedgeroad.suspicion.QuarantineStore;
import org.sedgeroad.suspicion.SuspicionGuard;
import org.sedgeroad.suspicion.SuspicionTable;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * A gateway instance, which serves clients through package gateway. Creates its components on one
 * event loop, and starts and stops them in order.
 *
 * <p>Only calls to the store block; they run on a small thread pool of their own.
 */
public final class GatewayInstance implements AutoCloseable {
  /**
   * Delay of a load report after the work of the instance has changed, in milliseconds. One report
   * covers all changes during the delay.
   */
  private static final long REPORT_DELAY_MILLIS = 5;

  /**
   * Time between two checks for orphaned jobs and for results that are due to be stored, in
   * milliseconds; a tenth of a failure timeout, after which an instance without load reports is
   * considered failed and its jobs are taken over.
   */
  private static final long JOB_CHECK_MILLIS = 250;

  /**
   * Time for which the watches of the addresses of instances and of quarantines may stay without an
   * answer, in milliseconds. An instance whose address is missing is not used as a hub until then;
   * quarantines are also exchanged between instances.
   */
  private static final long RARE_CHANGES_QUIET_MILLIS = 25_000;

  /**
   * Time after which the hubs repeat the announcements of endpoints to instances that may have
   * missed them, such as those that have started since, in milliseconds.
   */
  private static final long REPEAT_ANNOUNCEMENTS_MILLIS = 5_000;

  /**
   * Time between two checks for idle client connections, in milliseconds; the idle limits are
   * several seconds.
   */
  private static final long IDLE_CHECK_MILLIS = 1_000;

  /**
   * Time between two checks for requests in progress during a stop, in milliseconds; short compared
   * with a stop, which takes seconds.
   */
  private static final long STOP_POLL_MILLIS = 20;

  /**
   * Time at the end of a stop in which the answers to requests that did not end are sent, in
   * milliseconds; a part of the time that the settings reserve for closing connections.
   */
  private static final long LAST_ANSWERS_MILLIS = 150;

  /**
   * Pause before a failed registration is tried again, in milliseconds; store outages last for
   * seconds.
   */
  private static final long REGISTRATION_RETRY_MILLIS = 500;

  private volatile GatewaySettings settings;
  private final PlatformBinding platform;
  private final EventLog log;
  private final MonotonicClock clock = MonotonicClock.SYSTEM;
  private final XnioWorker worker;
  private final IoEventLoop eventLoop;
  private final StoreThreads storeWorkers = new StoreThreads();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final PooledHttpClient httpClient;
  private final StoreWriter writer;
  private final long incarnation = ThreadLocalRandom.current().nextLong(Long.MAX_VALUE);
  private final RouteTableHolder routes = new RouteTableHolder();
  private final HubExchange hubExchange;
  private final InstanceDirectory instances;
  private final ChangeRelay relay;
  private final Dispatcher dispatcher;
  private final AnnouncementTable announcements;
  private final EndpointAnnouncements endpointAnnouncements;
  private final EndpointsUpdater endpointsUpdater;
  private final GatewayAccess access;
  private final Gateway gateway;
  private final OwnedJobRunner runner;
  private final OwnedJobService jobs;
  private final List<KindWatcher> watchers = new ArrayList<>();
  private final KindWatcher routesWatcher;
  private final KindWatcher endpointsWatcher;
  private final LagDetector routesLag;
  private final LagDetector endpointsLag;
  private final JobWatch jobWatch;
  private final ClientConnections connections;
  private final Undertow server;
  private LoadExchange loadExchange;
  private boolean reportScheduled;
  // Whether load reports announce that this instance is leaving; used on the event loop.
  private boolean leaving;
  // Whether periodic tasks have ended; used on the event loop.
  private boolean stopped;
  // Whether close() has been called; a second call has no effect.
  private final AtomicBoolean closed = new AtomicBoolean();
  // Whether the instance is no longer ready and takes over no more jobs.
  private volatile boolean stopping;

  /**
   * Creates an instance; {@link #start} starts it.
   *
   * @param settings settings of the instance; {@link #reloadSettings} may later replace some of
   *     them
   * @param platform the platform that the instance runs on
   */
  public GatewayInstance(GatewaySettings settings, PlatformBinding platform) {
    this.settings = settings;
    this.platform = platform;
    this.log = EventLog.of(settings.instance());
    this.worker = createWorker();
    this.eventLoop = new IoEventLoop(worker.getIoThread(), clock);
    this.httpClient = PooledHttpClient.withWorker(worker, settings.connectTimeoutMillis());
    ObjectStore store = metrics.measure(platform.store(settings, httpClient));
    this.writer = StoreWriter.of(store, settings.instance() + "#" + incarnation);
    this.instances = new InstanceDirectory(settings.instance(), log);
    this.hubExchange =
        new HubExchange(
            settings.instance(),
            settings.domain(),
            incarnation,
            instances::domainsByInstance,
            (message, names) -> loadExchange.send(message, instances.reportAddresses(names)),
            eventLoop,
            clock,
            this::refreshPlacement);
    this.relay =
        new ChangeRelay(
            settings.instance(), store, hubExchange, instances, httpClient, eventLoop, clock);
    this.dispatcher = createDispatcher();
    this.announcements = new AnnouncementTable(clock);
    this.endpointAnnouncements = createEndpointAnnouncements();
    dispatcher.setRestrictions(
        new AnnouncedRestrictions(
            settings.instance(),
            settings.domain(),
            name -> this.settings.region(name),
            instances::domainsByInstance,
            announcements,
            hubExchange.view(),
            clock));
    this.endpointsUpdater = new EndpointsUpdater(platform, routes, dispatcher, clock, log);
    BatchDependencies batch = createBatchDependencies();
    this.runner = new OwnedJobRunner(batch);
    dispatcher.setBatchSource(runner);
    dispatcher.setChangeListener(this::scheduleReport);
    this.jobs =
        new OwnedJobService(
            batch,
            runner,
            new HttpPeerJobs(instances, () -> hubExchange.hubs().get(0), httpClient, clock));
    this.access =
        new GatewayAccess(settings, instances, routes, hubExchange, eventLoop, clock, log);
    GatewayDependencies dependencies =
        new GatewayDependencies(
            routes,
            () -> hasConfiguration() && access.control().isReady(),
            access.control(),
            dispatcher,
            createSuspicionGuard(),
            batch.endpointClient(),
            httpClient.answerMemory(),
            eventLoop,
            clock,
            metrics,
            log);
    this.gateway = new Gateway(dependencies);
    this.connections =
        new ClientConnections(platform.clientHandler(dependencies, gateway, jobs), clock);
    RoutesUpdater routesUpdater = new RoutesUpdater(platform, routes, endpointsUpdater, log);
    this.routesWatcher = watch(platform.routesKind(), relay::quietMillis, routesUpdater);
    access.probe(store, platform.routesKind(), routesWatcher, routesUpdater);
    this.endpointsWatcher = watch(platform.endpointsKind(), relay::quietMillis, endpointsUpdater);
    this.routesLag = relay.lagDetector(routesWatcher, "a peer has newer routes");
    this.endpointsLag = relay.lagDetector(endpointsWatcher, "a peer has newer endpoints");
    watch(InstanceDirectory.KIND, () -> RARE_CHANGES_QUIET_MILLIS, instances);
    WatchPace headsPace = WatchPace.of(this::quietMillis, JobWatch.COLLECTION_MILLIS);
    this.jobWatch = new JobWatch(() -> createWatcher(store, JobStore.JOBS, headsPace, jobs));
    this.server = createServer();
  }

  private static XnioWorker createWorker() {
    try {
      return Xnio.getInstance()
          .createWorker(
              OptionMap.builder()
                  .set(Options.WORKER_IO_THREADS, 1)
                  .set(Options.WORKER_TASK_CORE_THREADS, 1)
                  .set(Options.WORKER_TASK_MAX_THREADS, 1)
                  .set(Options.TCP_NODELAY, true)
                  .set(Options.WORKER_NAME, "event-loop")
                  .getMap());
    } catch (IOException failure) {
      throw new IllegalStateException("cannot start the event loop", failure);
    }
  }

  private Dispatcher createDispatcher() {
    Dispatcher created =
        new Dispatcher(
            settings.instance(),
            settings.domain(),
            name -> this.settings.region(name),
            hubExchange.view(),
            clock,
            () -> ThreadLocalRandom.current().nextDouble());
    created.prompts().setCacheTokens(service -> routes.current().cacheTokens(service));
    created.prompts().setRecorder(metrics::recordPrompt);
    created.setWorkspaces(() -> routes.current().workspaces(), created::liveRunningByWorkspace);
    return created;
  }

  private BatchDependencies createBatchDependencies() {
    return new BatchDependencies(
        settings.instance(),
        JobStore.of(writer, settings.storeObjectBytes()),
        storeWorkers,
        routes,
        dispatcher,
        new AnnouncementReceiver(platform.endpointClient(httpClient), endpointAnnouncements),
        platform::prompt,
        httpClient.answerMemory(),
        hubExchange.view(),
        eventLoop,
        clock,
        metrics,
        log,
        settings.keepJobMillis());
  }

  private SuspicionGuard createSuspicionGuard() {
    SuspicionTable table = new SuspicionTable(clock);
    ChangeExchange<CrashSeries> exchange =
        new ChangeExchange<>(
            table,
            hubExchange::spread,
            SuspicionTable.SERIES_IN_MESSAGE,
            hubExchange::isHub,
            eventLoop,
            clock);
    hubExchange.setCrashListener(exchange::receive);
    QuarantineStore quarantines =
        new QuarantineStore(
            writer,
            storeWorkers,
            eventLoop,
            clock,
            System::currentTimeMillis,
            log,
            exchange::receive);
    watch(QuarantineStore.KIND, () -> RARE_CHANGES_QUIET_MILLIS, quarantines);
    return new SuspicionGuard(table, exchange, quarantines, eventLoop, log);
  }

  private EndpointAnnouncements createEndpointAnnouncements() {
    ChangeExchange<VersionedAnnouncement> exchange =
        new ChangeExchange<>(
            announcements,
            hubExchange::spreadAnnouncements,
            AnnouncementTable.ANNOUNCEMENTS_IN_MESSAGE,
            hubExchange::isHub,
            eventLoop,
            clock);
    hubExchange.setAnnouncementListener(exchange::receive);
    return new EndpointAnnouncements(announcements, exchange, metrics, clock, log);
  }

  private KindWatcher watch(String kind, WatchPace pace, KindWatcher.Listener listener) {
    boolean hasSecrets = kind.equals(platform.routesKind());
    KindWatcher watcher =
        relay.watch(
            kind, !hasSecrets, listener, next -> createWatcher(relay.store(), kind, pace, next));
    watchers.add(watcher);
    return watcher;
  }

  private KindWatcher createWatcher(
      ObjectStore store, String kind, WatchPace pace, KindWatcher.Listener listener) {
    return new KindWatcher(store, kind, storeWorkers, eventLoop, clock, log, pace, listener);
  }

  private long quietMillis() {
    return WatchWait.millis(instances.count(), ThreadLocalRandom.current().nextDouble());
  }

  private Undertow createServer() {
    HttpHandler readiness =
        exchange -> {
          exchange.setStatusCode(isReady() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
          exchange.endExchange();
        };
    HttpHandler metricsPage = exchange -> exchange.getResponseSender().send(metrics.toText());
    return Undertow.builder()
        .setWorker(worker)
        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 64 * 1024)
        .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
        .setServerOption(UndertowOptions.DECODE_URL, false)
        .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
        .addListener(listener(settings.clientAddress(), connections))
        .addListener(listener(settings.readinessAddress(), readiness))
        .addListener(
            listener(settings.exchangeAddress(), relay.handler(new PeerJobsHandler(jobs, clock))))
        .addListener(listener(settings.metricsAddress(), metricsPage))
        .build();
  }

  private static Undertow.ListenerBuilder listener(InetSocketAddress address, HttpHandler root) {
    return new Undertow.ListenerBuilder()
        .setType(Undertow.ListenerType.HTTP)
        .setHost(address.getHostString())
        .setPort(address.getPort())
        .setRootHandler(root);
  }

  /** Starts all threads and listeners. */
  public void start() {
    loadExchange =
        LoadExchange.open(settings.reportAddress(), hubExchange::receive, eventLoop, clock, log);
    server.start();
    eventLoop.execute(
        () -> {
          register();
          watchers.forEach(KindWatcher::start);
          jobWatch.start();
          scheduleRepeatedly(HubExchange.TICK_MILLIS, this::exchangeLoads);
          scheduleRepeatedly(JOB_CHECK_MILLIS, this::runPeriodicChecks);
          scheduleRepeatedly(REPEAT_ANNOUNCEMENTS_MILLIS, this::repeatAnnouncements);
          scheduleRepeatedly(IDLE_CHECK_MILLIS, this::closeIdleConnections);
        });
    log.log(
        LogEvent.INSTANCE_STARTED,
        EventField.of("domain", settings.domain()),
        EventField.of("clients", settings.clientAddress()),
        EventField.of("incarnation", incarnation));
  }

  /**
   * Returns the result of the readiness check: whether the routes and endpoints have been read and
   * the instance is not stopping. Connections are also accepted while it is not ready.
   */
  public boolean isReady() {
    return !stopping && hasConfiguration() && access.isReady();
  }

  private boolean hasConfiguration() {
    return routes.isKnown() && endpointsUpdater.hasBeenListed();
  }

  /**
   * Reloads the settings file.
   *
   * <p>Changes to failure domains, the stop notice and the stop timeout take effect at once, all
   * others at the next start. If the file is not valid, the settings stay unchanged.
   *
   * @param file the settings file
   */
  public void reloadSettings(Path file) {
    settings = GatewaySettingsReload.read(file, settings, log);
  }

  /**
   * Stops in this order: fails the readiness check, waits until the load balancer has had time to
   * notice, refuses new requests and leaves its jobs to other instances, finishes the requests in
   * progress, answers those that did not end, closes. Takes at most the stop timeout of the
   * settings and some tenths of a second.
   */
  @Override
  public void close() {
    if (closed.getAndSet(true)) {
      return;
    }
    long deadline = clock.deadlineAfterMillis(settings.stopTimeoutMillis());
    log.log(LogEvent.INSTANCE_STOPPING, EventField.of("requests", connections.active()));
    stopping = true;
    connections.closeAfterAnswers();
    sleepUntil(clock.deadlineAfterMillis(noticeMillis()), false);
    CountDownLatch jobsLeft = new CountDownLatch(1);
    // The load balancer has had time to notice, so new requests are refused from now on. Requests
    // on reused connections, and those that still arrive because too few instances are ready, would
    // otherwise be accepted until the connections are closed, and be cut off then.
    eventLoop.execute(
        () -> {
          gateway.stop();
          connections.closeIdleSince(clock.nanos());
          runner.stopAll();
          leaving = true;
          sendReport();
          jobsLeft.countDown();
        });
    sleepUntil(deadline, true);
    if (connections.active() > 0) {
      log.log(LogEvent.STOP_DEADLINE_PASSED, EventField.of("requests", connections.active()));
      eventLoop.execute(gateway::endRequests);
      sleepUntil(clock.deadlineAfterMillis(LAST_ANSWERS_MILLIS), true);
    }
    eventLoop.execute(
        () -> {
          stopped = true;
          watchers.forEach(KindWatcher::close);
          jobWatch.close();
        });
    server.stop();
    loadExchange.close();
    storeWorkers.stop(jobsLeft);
    httpClient.close();
    worker.shutdown();
    log.log(LogEvent.INSTANCE_STOPPED);
  }

  /**
   * Returns the time for which new requests are still accepted during a stop. If the stop is short,
   * half of it is left for their answers.
   */
  private long noticeMillis() {
    return Math.min(settings.stopNoticeMillis(), settings.stopTimeoutMillis() / 2);
  }

  private void sleepUntil(long deadlineNanos, boolean untilIdle) {
    while (!clock.hasPassed(deadlineNanos) && !(untilIdle && connections.active() == 0)) {
      try {
        Thread.sleep(STOP_POLL_MILLIS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void scheduleRepeatedly(long periodMillis, Runnable task) {
    eventLoop.scheduleAt(
        clock.deadlineAfterMillis(periodMillis),
        () -> {
          if (stopped) {
            return;
          }
          scheduleRepeatedly(periodMillis, task);
          try {
            task.run();
          } catch (RuntimeException failure) {
            // REQUEST_ERROR also covers unexpected errors in periodic tasks.
            log.log(LogEvent.REQUEST_ERROR, EventField.of("cause", failure));
          }
        });
  }

  private void register() {
    InstanceRegistration.write(
        writer,
        settings.instance(),
        new InstanceDirectory.Addresses(
            settings.reportAddress(), settings.exchangeAddress(), settings.domain()),
        storeWorkers,
        registered -> {
          if (!registered) {
            eventLoop.scheduleAt(
                clock.deadlineAfterMillis(REGISTRATION_RETRY_MILLIS), this::register);
          }
        });
  }

  private void refreshPlacement() {
    dispatcher.refresh();
  }

  /**
   * Schedules a load report for shortly after the work of this instance has changed. The report
   * holds the counts at the time of sending.
   */
  private void scheduleReport() {
    if (!reportScheduled) {
      reportScheduled = true;
      eventLoop.scheduleAt(
          clock.deadlineAfterMillis(REPORT_DELAY_MILLIS),
          () -> {
            reportScheduled = false;
            sendReport();
          });
    }
  }

  private void exchangeLoads() {
    hubExchange.tick();
    relay.tick();
    access.tick();
    // Places and preempts work that has become due, so that the report contains the result.
    dispatcher.tick(instances.count());
    sendReport();
    checkLag();
    jobWatch.update(hubExchange.isFirstHub());
  }

  private void sendReport() {
    hubExchange.report(
        new LoadReport(
            settings.instance(),
            incarnation,
            0,
            routes.current().version(),
            endpointsWatcher.newestChange(),
            dispatcher.liveWaiting(),
            runner.readyByQueue(),
            jobs.waitingTokens(),
            dispatcher.occupancy(),
            dispatcher.sentToLimited(),
            leaving,
            access.details(
                dispatcher.liveRunningByWorkspace(), dispatcher.liveWaitingByWorkspace())));
  }

  /** Restarts watches that have missed a change that a peer has received. */
  private void checkLag() {
    LoadTotals others = hubExchange.view().others(clock.nanos());
    routesLag.check(others.configurationVersion() > routes.current().version());
    endpointsLag.check(others.endpointsVersion() > endpointsWatcher.version());
  }

  private void repeatAnnouncements() {
    if (hubExchange.isFirstHub()) {
      endpointAnnouncements.repeat();
    }
  }

  private void closeIdleConnections() {
    long idleNanos = routes.current().limits().idleTimeoutMillis() * 1_000_000L;
    connections.closeIdleSince(clock.nanos() - idleNanos);
  }

  private void runPeriodicChecks() {
    // Drops endpoints that were unregistered long enough ago.
    endpointsUpdater.refresh();
    runner.giveUpItemsOfDroppedRoutes();
    runner.storeDueResults();
    jobs.checkOwnershipAfterLossOfContact();
    if (!stopping) {
      List<String> jobWatchers = hubExchange.liveFirstHubs();
      jobs.countOrphanTokens(jobWatchers);
      if (hubExchange.isFirstHub()) {
        jobs.takeOverOrphanedJobs(jobWatchers);
      }
      jobs.deleteExpiredJob(jobWatchers);
    }
  }
}
