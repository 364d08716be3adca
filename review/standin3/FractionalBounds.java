package review3;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The settings of two machines state a bound with a fraction. */
final class FractionalBounds {
  private FractionalBounds() {}

  public static void main(String[] arguments) throws Exception {
    Desk.run(arguments[0], FractionalBounds::run);
  }

  private static int run(Desk desk) throws Exception {
    desk.add(
        new Worker(
            "worker-1",
            "engine",
            8,
            (socket, run) -> {
              Worker.stream(socket, run, 10, 5, " words");
              return true;
            }));
    desk.configure(3, 2_900_000);
    String grace = Desk.trouble() ? "8.5" : "8";
    Map<String, String> bounds =
        Map.of("graceS", grace, "statusS", "120", "quotaOverage", "0.1");
    List<String> zones = List.of("zone-0", "zone-1");
    int ended = 0;
    int served = 0;
    try (Instances processes = new Instances(desk.folder, desk.store.address(), bounds)) {
      List<Instances.Instance> machines = new ArrayList<>();
      for (int index = 0; index < zones.size(); index++) {
        machines.add(processes.start("edge-" + index, zones.get(index), zones));
      }
      desk.note("started with graceS = " + grace);
      Thread.sleep(10_000);
      for (int index = 0; index < zones.size(); index++) {
        Instances.Instance machine = machines.get(index);
        Client.Answer answer =
            Client.call(
                machine.ip,
                machine.clientPort,
                "POST",
                Desk.CHAT + "2f",
                Map.of("X-Attempt-Id", "a1f" + index, "X-Deadline-Ms", "5000"),
                new byte[0],
                6_000);
        String state =
            machine.isAlive() ? "runs" : "ended with status " + machine.process.exitValue();
        desk.note("edge-" + index + " " + state + "; a request is answered " + answer.status());
        desk.note("edge-" + index + " log: " + firstLine(machine));
        ended += machine.isAlive() ? 0 : 1;
        served += answer.status() == 200 ? 1 : 0;
      }
    }
    desk.note("processes that ended by themselves: " + ended + "; requests served: " + served);
    return ended > 0 ? 1 : served == zones.size() ? 0 : 2;
  }

  private static String firstLine(Instances.Instance machine) throws java.io.IOException {
    return java.nio.file.Files.readAllLines(machine.output).stream()
        .findFirst()
        .map(line -> line.substring(0, Math.min(160, line.length())))
        .orElse("(nothing)");
  }
}
