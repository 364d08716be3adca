package org.sedgeroad.command;

import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sedgeroad.burn.BurnReport;
import org.sedgeroad.event.EventLog;

/** Listens for operators, apart from the callers' listener and its workers. */
public final class AdministrationListener implements AutoCloseable {
  /** Operators are few; a pool of their own keeps them able to act when callers use all workers. */
  private static final int MAX_WORKERS = 8;

  private final ThreadPoolExecutor workers =
      new ThreadPoolExecutor(0, MAX_WORKERS, 30, TimeUnit.SECONDS, new SynchronousQueue<>());
  private final Undertow server;

  /** Creates a listener; {@link #start} starts it. */
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

  /** Starts to listen. */
  public void start() {
    server.start();
  }

  @Override
  public void close() {
    server.stop();
    workers.shutdownNow();
  }
}
