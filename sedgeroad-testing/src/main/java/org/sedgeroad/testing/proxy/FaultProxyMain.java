package org.sedgeroad.testing.proxy;

import java.net.InetSocketAddress;
import org.kohsuke.args4j.Option;
import org.sedgeroad.testing.http.ProcessMain;

/** Runs the fault proxy and its control API as a process until it is terminated. */
public final class FaultProxyMain {
  @Option(name = "--port", usage = "port, 0 for any free one")
  private int port;

  @Option(name = "--control-port", usage = "port of the control API, 0 for any free one")
  private int controlPort;

  @Option(name = "--target", required = true, usage = "address of the target, IP:PORT")
  private String target;

  @Option(name = "--request-delay-millis", usage = "delay towards the target")
  private long requestDelayMillis;

  @Option(name = "--answer-delay-millis", usage = "delay towards the caller")
  private long answerDelayMillis;

  @Option(name = "--bytes-per-second", usage = "limit in each direction, 0 for none")
  private long bytesPerSecond;

  private FaultProxyMain() {}

  /** Parses the options, starts the proxy and prints {@code proxy=ADDRESS control=ADDRESS}. */
  public static void main(String[] arguments) {
    FaultProxyMain main = new FaultProxyMain();
    ProcessMain.parse(main, arguments);
    int colon = main.target.lastIndexOf(':');
    InetSocketAddress address =
        new InetSocketAddress(
            main.target.substring(0, colon), Integer.parseInt(main.target.substring(colon + 1)));
    FaultProxy proxy =
        FaultProxy.start(
            main.port, address, Throttle.of(main.bytesPerSecond), Throttle.of(main.bytesPerSecond));
    proxy.setDelays(main.requestDelayMillis, main.answerDelayMillis);
    ProxyControl control = ProxyControl.start(main.controlPort, proxy);
    ProcessMain.run("proxy=" + proxy.address() + " control=" + control.address(), proxy);
  }
}
