package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A batch route is split between two services. The only worker of the one that the configuration
 * names first stands in a zone of its own, whose workers are lost for good; the workers of the other
 * one are idle.
 */
final class SplitRoute {
  private static final int JOBS = 4;
  private static final int ITEMS = 10;

  private SplitRoute() {}

  public static void main(String[] arguments) throws Exception {
    Desk.run(arguments[0], SplitRoute::run);
  }

  private static int run(Desk desk) throws Exception {
    Worker.Script script =
        (socket, run) -> {
          Worker.stream(socket, run, 261, 15, " words");
          return true;
        };
    Worker lost = new Worker("worker-next", "engine-next", 8, "zone-1", script);
    desk.add(lost);
    for (int number = 1; number <= 4; number++) {
      desk.add(new Worker("worker-" + number, "engine", 8, "zone-" + number % 2 * 2, script));
    }
    desk.configure(3, 2_900_000);
    split(desk);
    desk.start(3);
    Set<String> jobs = new LinkedHashSet<>();
    for (int number = 0; number < JOBS; number++) {
      String id = "7c41e09b52d6a3f" + number;
      if (desk.submit(number % 3, id, Desk.job(id, ITEMS, 1_500, 611)) != 202) {
        return 2;
      }
      jobs.add(id);
    }
    Thread.sleep(1_000);
    noteRuns(desk);
    if (Desk.trouble()) {
      desk.note("worker-next is lost for good; its registration expires after three heartbeats");
      lost.crash();
      Thread.sleep(3_600);
      desk.store.remove("servers", lost.name);
    }
    // finishS of the sheet is 18; three times that is allowed here.
    long end = System.nanoTime() + 54_000_000_000L;
    int unlisted = JOBS * ITEMS;
    for (int round = 0; unlisted > 0 && System.nanoTime() - end < 0; round++) {
      Thread.sleep(1_000);
      unlisted = 0;
      for (String id : jobs) {
        JsonNode page = desk.results(round % 3, id, 0);
        unlisted += ITEMS - page.path("results").size();
      }
      desk.note("items not listed: " + unlisted);
      noteRuns(desk);
    }
    noteRuns(desk);
    return desk.judgeUnlisted(unlisted);
  }

  /** Replaces the service of the batch route by a split, as in the example on the wire. */
  private static void split(Desk desk) {
    ObjectNode root = (ObjectNode) desk.store.find("config", "main").path("spec");
    root.put("version", 7);
    ((ArrayNode) root.path("services")).add(root.path("services").path(0).deepCopy());
    ((ObjectNode) root.path("services").path(1)).put("name", "engine-next");
    ObjectNode route = (ObjectNode) root.path("routes").path(2);
    route.remove("service");
    ArrayNode parts = route.putArray("trafficSplit");
    parts.addObject().put("service", "engine-next").put("weight", 10);
    parts.addObject().put("service", "engine").put("weight", 90);
    desk.store.put("config", "main", root);
    desk.note("configuration 7: " + route);
  }

  private static void noteRuns(Desk desk) {
    StringBuilder text = new StringBuilder("items that workers have begun:");
    desk.workers.forEach(worker -> text.append(" " + worker.name + " " + worker.runs.size()));
    desk.note(text.toString());
  }
}
