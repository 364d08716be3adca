package review3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Clients send a second request on a kept connection before the first is answered. The body of the
 * second one quotes a request. A narrow link of one of
 * the machines delivers it in two parts.
 */
final class Pipelined {
  private static final int CONNECTIONS = 10;

  /** Payload of the packets in which a narrow link delivers. */
  private static final int PART_BYTES = 512;

  /** Rate of a narrow link, in Mbit/s: that of link_squeeze in fleetbench kinds. */
  private static final double NARROW_MBPS = 10;

  /** One of five machines has a narrow link: a share of 0.2, as in fleetbench kinds. */
  private static final int MACHINES = 5;

  private Pipelined() {}

  public static void main(String[] arguments) throws Exception {
    Desk.run(arguments[0], Pipelined::run);
  }

  private static Map<String, String> headers(String id, int padding) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", "desk.example");
    headers.put("X-Attempt-Id", id);
    headers.put("X-Deadline-Ms", "2500");
    if (padding > 0) {
      headers.put("User-Agent", "c".repeat(padding));
    }
    return headers;
  }

  private static int run(Desk desk) throws Exception {
    for (int number = 1; number <= 2; number++) {
      desk.add(
          new Worker(
              "worker-" + number,
              "engine",
              6,
              (socket, run) -> {
                Thread.sleep(110);
                Worker.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\nX-Attempt-Id: "
                        + run.id()
                        + "\r\nContent-Length: "
                        + run.id().length()
                        + "\r\n\r\n"
                        + run.id());
                return true;
              }));
    }
    desk.configure(3, 2_900_000);
    desk.start(MACHINES);
    Set<String> sent = new TreeSet<>();
    int foreign = 0;
    Instances.Instance machine = desk.instances.get(0);
    try (Link link =
        new Link(
            machine.ip, machine.clientPort, Desk.trouble() ? PART_BYTES : 0, NARROW_MBPS)) {
      for (int number = 0; number < CONNECTIONS; number++) {
        String first = "a1f" + number;
        String second = "b2e" + number;
        sent.add(first);
        sent.add(second);
        foreign += send(desk, link, first, second, "quoted" + number);
      }
    }
    Set<String> unasked = new TreeSet<>();
    for (Worker worker : desk.workers) {
      for (Worker.Run run : worker.runs) {
        desk.note(worker.name + " ran " + run.id());
        if (!sent.contains(run.id())) {
          unasked.add(run.id());
        }
      }
    }
    desk.note("requests that workers ran and no client sent: " + unasked);
    desk.note("answers to another request than the client's: " + foreign);
    return unasked.isEmpty() && foreign == 0 ? 0 : 1;
  }

  private static int send(Desk desk, Link link, String first, String second, String quoted)
      throws IOException {
    byte[] body =
        Client.request("POST", Desk.STATUS + "2f", headers(quoted, 0), new byte[0]);
    // The head of the second request ends where the first part ends.
    byte[] one = Client.request("GET", Desk.STATUS + "2f", headers(first, 0), null);
    int padding = 1;
    byte[] two = Client.request("POST", Desk.STATUS + "2f", headers(second, padding), body);
    while ((one.length + two.length - body.length) % PART_BYTES != 0) {
      padding++;
      two = Client.request("POST", Desk.STATUS + "2f", headers(second, padding), body);
    }
    ByteArrayOutputStream both = new ByteArrayOutputStream();
    both.writeBytes(one);
    both.writeBytes(two);
    int foreign = 0;
    try (Socket socket = new Socket("127.0.0.1", link.port())) {
      socket.setSoTimeout(3_000);
      socket.getOutputStream().write(both.toByteArray());
      desk.note("client sends GET " + first + " and POST " + second + ", which quotes " + quoted);
      for (String id : new String[] {first, second}) {
        Client.Answer answer = Client.receive(socket.getInputStream());
        desk.note("client receives for " + id + ": " + answer.status() + " " + answer.text());
        foreign += answer.status() == 200 && !answer.text().equals(id) ? 1 : 0;
      }
    } catch (IOException broken) {
      desk.note("client receives no more: " + broken);
    }
    return foreign;
  }
}
