package org.sedgeroad.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.access.ConfigurationAge;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.placement.VirtualTime;
import org.sedgeroad.presence.Confirmation;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WatchListener;

/** Guards against a configuration that expires though the store answers, and needless calls. */
class ConfigurationProbeTest {
  private static final double ANSWER_MILLIS = 4;

  private final VirtualTime time = new VirtualTime();
  private final ConfigurationAge age =
      new ConfigurationAge(5_000, time, () -> time.nanos() / 1_000_000, () -> 3);
  private final Store store = new Store();
  private boolean hub;
  private final ConfigurationProbe probe =
      new ConfigurationProbe(store, age, () -> hub, () -> 0.5, time, time, EventLog.of("test"));

  /** A store that answers short watches, and asks again at once unless the watch is closed. */
  private final class Store implements ConfigurationProbe.Source {
    private int calls;
    private int lists;
    private boolean silent;
    private boolean historyLost;

    @Override
    public AutoCloseable watch(long afterVersion, WatchListener listener) {
      boolean[] closed = {false};
      call(listener, closed);
      return () -> closed[0] = true;
    }

    private void call(WatchListener listener, boolean[] closed) {
      calls++;
      boolean answers = !silent;
      time.after(
          ANSWER_MILLIS,
          () -> {
            if (!answers || closed[0]) {
              return;
            }
            if (historyLost) {
              listener.onExpired("history lost");
              return;
            }
            listener.onProgress(10);
            if (!closed[0]) {
              call(listener, closed);
            }
          });
    }

    @Override
    public void renewConnections() {
      silent = false;
    }

    @Override
    public long reachedVersion() {
      return 10;
    }

    @Override
    public void changed(StoredObject object) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void relist(String reason) {
      lists++;
      historyLost = false;
    }
  }

  private void tick() {
    probe.tick();
    time.after(50, this::tick);
  }

  private void run(double untilMillis) {
    time.runUntil(untilMillis);
  }

  @Nested
  class Hub {
    @Test
    void asksAboutOnceASecond() {
      hub = true;
      tick();
      run(10_000);
      assertTrue(store.calls >= 8 && store.calls <= 10, () -> store.calls + " calls");
      assertTrue(age.ageMillis() <= 1_300, () -> age.ageMillis() + " ms");
    }

    @Test
    void asksAgainSoonIfTheConnectionHasBecomeSilent() {
      hub = true;
      tick();
      run(900);
      store.silent = true;
      run(2_000);
      assertTrue(age.ageMillis() < 1_000, () -> age.ageMillis() + " ms");
    }

    @Test
    void listsAgainIfTheHistoryIsLost() {
      hub = true;
      store.historyLost = true;
      tick();
      run(2_000);
      assertEquals(1, store.lists);
      assertTrue(age.isConfirmed());
    }
  }

  @Nested
  class OtherInstance {
    private void hear(double untilMillis) {
      if (time.nanos() / 1e6 < untilMillis) {
        age.receive(new Confirmation(3, 1_000), time.nanos());
        time.after(200, () -> hear(untilMillis));
      }
    }

    @Test
    void asksOnlyIfNoHubHasConfirmed() {
      hear(6_000);
      tick();
      run(6_000);
      assertEquals(0, store.calls);
      run(8_500);
      assertTrue(store.calls >= 1);
      assertTrue(age.ageMillis() < 2_100, () -> age.ageMillis() + " ms");
    }
  }
}
