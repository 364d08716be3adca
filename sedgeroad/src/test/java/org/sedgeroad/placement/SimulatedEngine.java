package org.sedgeroad.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** An engine that runs a fixed number of requests at once and queues the rest in arrival order. */
final class SimulatedEngine {

  /** A request or item at the engine. */
  static final class Work {
    private final double millis;
    private final Runnable onStart;
    private final Runnable onEnd;
    private double startedMillis = -1;
    private boolean cancelled;

    Work(double millis, Runnable onStart, Runnable onEnd) {
      this.millis = millis;
      this.onStart = onStart;
      this.onEnd = onEnd;
    }

    /** Returns the time since the start of the work in milliseconds, 0 before its start. */
    double ranMillis(VirtualTime time) {
      return startedMillis < 0 ? 0 : time.nanos() / 1e6 - startedMillis;
    }
  }

  private final VirtualTime time;
  private final int slots;
  private final Deque<Work> queue = new ArrayDeque<>();
  private final Set<Work> running = new HashSet<>();
  private double busyMillis;
  private double lastMillis;

  SimulatedEngine(VirtualTime time, int slots) {
    this.time = time;
    this.slots = slots;
  }

  void submit(Work work) {
    updateBusyTime();
    queue.add(work);
    startQueued();
  }

  void cancel(Work work) {
    updateBusyTime();
    work.cancelled = true;
    queue.remove(work);
    running.remove(work);
    startQueued();
  }

  /** Returns the sum over all slots of the time in which they were used, in milliseconds. */
  double busyMillis() {
    updateBusyTime();
    return busyMillis;
  }

  private void updateBusyTime() {
    double now = time.nanos() / 1e6;
    busyMillis += running.size() * (now - lastMillis);
    lastMillis = now;
  }

  private void startQueued() {
    while (running.size() < slots && !queue.isEmpty()) {
      Work work = queue.remove();
      running.add(work);
      work.startedMillis = time.nanos() / 1e6;
      work.onStart.run();
      time.after(work.millis, () -> end(work));
    }
  }

  private void end(Work work) {
    if (!work.cancelled && running.contains(work)) {
      updateBusyTime();
      running.remove(work);
      startQueued();
      work.onEnd.run();
    }
  }
}
