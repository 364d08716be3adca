package org.sedgeroad.command;

import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sedgeroad.burn.BurnReport;
import org.sedgeroad.event.EventLog;

/** HTTP server of the administration API, with an address and worker threads of its own. */
public final class AdministrationListener implements AutoCloseable {
  /**
   * Size of the thread pool for operators, who are few. They do not share the pool of the callers'
   * API, so that they can act while callers occupy all of its threads.
   */
  private static final int MAX_WORKERS = 8;

  private final ThreadPoolExecutor workers =
      new ThreadPoolExecutor(0, MAX_WORKERS, 30, TimeUnit.SECONDS, new SynchronousQueue<>());
  private final Undertow server;

  /** Creates a listener, which serves requests once {@link #start} is called. */
  public AdministrationListener(
      InetSocketAddress address,
      CommandExecutor executor,
      Supplier<BurnReport> burnReport,
      OperatorToken token,
      EventLog log) {
    this.server =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(new AdministrationHandler(executor, burnReport, token, workers, log))
            .build();
  }

  /** Opens the port and starts to serve requests. */
  public void start() {
    server.start();
  }

  @Override
  public void close() {
    server.stop();
    workers.shutdownNow();
  }
}
