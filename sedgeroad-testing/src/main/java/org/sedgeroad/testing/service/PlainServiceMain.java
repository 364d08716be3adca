package org.sedgeroad.testing.service;

import org.kohsuke.args4j.Option;
import org.sedgeroad.testing.http.ProcessMain;

/** Runs the plain service stand-in as a process until it is terminated. */
public final class PlainServiceMain {
  @Option(name = "--port", usage = "port, 0 for any free one")
  private int port;

  @Option(name = "--name", usage = "name shown in answers")
  private String name = "service";

  @Option(name = "--delay-millis", usage = "time between an execution and its answer")
  private long delayMillis;

  private PlainServiceMain() {}

  /** Parses the options, starts the stand-in and prints {@code service=ADDRESS}. */
  public static void main(String[] arguments) {
    PlainServiceMain main = new PlainServiceMain();
    ProcessMain.parse(main, arguments);
    PlainServiceStandIn service = PlainServiceStandIn.start(main.port, main.name, main.delayMillis);
    ProcessMain.run("service=" + service.address(), service);
  }
}
