package review3;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One of two machines is lost for good after all batch jobs have been listed and read; the
 * other one takes its jobs over. At the end, all jobs are read again.
 */
final class HandOver {
  private static final int INSTANCES = 2;
  private static final int JOBS = 12;
  private static final int ITEMS = 200;
  private static final int BODY_BYTES = 15_000;
  private static final int EVENTS = 261;
  private static final int EVENT_BYTES = 60;
  private static final int TOKENS = 611;
  private static final int READ_ATTEMPTS = 4;

  private HandOver() {}

  public static void main(String[] arguments) throws Exception {
    Desk.run(arguments[0], HandOver::run);
  }

  private static int run(Desk desk) throws Exception {
    String text = " " + "w".repeat(EVENT_BYTES - 17);
    for (int number = 1; number <= 8; number++) {
      desk.add(
          new Worker(
              "worker-" + number,
              "engine",
              8,
              (socket, run) -> {
                Worker.stream(socket, run, EVENTS, 1, text);
                return true;
              }));
    }
    desk.configure(3, 2_900_000);
    desk.start(INSTANCES);
    Map<String, Integer> listed = new LinkedHashMap<>();
    for (int number = 0; number < JOBS; number++) {
      String id = String.format("7c41e09b52d6%04x", number);
      if (desk.submit(number % INSTANCES, id, Desk.job(id, ITEMS, BODY_BYTES, TOKENS)) == 202) {
        listed.put(id, 0);
      }
      Thread.sleep(800);
    }
    int total = listed.size() * ITEMS;
    for (int round = 0; round < 40 && read(listed) < total; round++) {
      Thread.sleep(500);
      for (Map.Entry<String, Integer> job : listed.entrySet()) {
        if (job.getValue() < ITEMS) {
          JsonNode page = desk.results(1, job.getKey(), job.getValue());
          job.setValue(page.path("next").asInt(job.getValue()));
        }
      }
    }
    desk.note("accepted " + listed.size() + " jobs, read " + read(listed) + " of " + total);
    if (listed.size() < JOBS || read(listed) < total) {
      return 2;
    }
    if (Desk.trouble()) {
      desk.note("SIGKILL to edge-0, which is lost for good");
      desk.processes.signal(desk.instances.get(0), "KILL");
    }
    // The jobs are taken over within 8.5 s; finishS of the sheet is 18.
    Thread.sleep(20_000);
    Map<String, String> missing = readAgain(desk, listed.keySet());
    for (int attempt = 1; attempt < READ_ATTEMPTS && !missing.isEmpty(); attempt++) {
      Thread.sleep(2_000);
      missing.keySet().retainAll(readAgain(desk, missing.keySet()).keySet());
    }
    missing.forEach((job, answers) -> desk.note("BROKEN: " + job + " can't be read: " + answers));
    for (int index = 1; index < INSTANCES; index++) {
      boolean runs = desk.instances.get(index).isAlive();
      desk.note("edge-" + index + (runs ? " runs" : " has ended"));
    }
    desk.noteLogs(".*(OutOfMemory|heap space).*");
    desk.note("jobs that were read before and can't be read now: " + missing.size());
    return missing.isEmpty() ? 0 : 1;
  }

  private static int read(Map<String, Integer> listed) {
    return listed.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Reads jobs at the machine that is left; returns the answers of those without a result. */
  private static Map<String, String> readAgain(Desk desk, Iterable<String> jobs)
      throws InterruptedException {
    Map<String, String> missing = Collections.synchronizedMap(new TreeMap<>());
    List<Thread> readers = new ArrayList<>();
    for (String job : jobs) {
      Thread reader =
          new Thread(
              () -> {
                List<String> answers = new ArrayList<>();
                for (int index = 1; index < INSTANCES; index++) {
                  JsonNode page = desk.resultsOrStatus(index, job);
                  if (!page.path("results").isEmpty()) {
                    return;
                  }
                  answers.add("edge-" + index + " -> " + page);
                }
                missing.put(job, answers.toString());
              });
      readers.add(reader);
      reader.start();
      // Clients read about twice a second.
      Thread.sleep(100);
    }
    for (Thread reader : readers) {
      reader.join();
    }
    return missing;
  }
}
