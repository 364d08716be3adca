package org.sedgeroad.event;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import org.sedgeroad.MonotonicClock;

/**
 * Writes log events to a {@link System.Logger}, each as one line with a JSON object. Thread-safe.
 */
public final class EventLog {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final LogSampler sampler = new LogSampler(MonotonicClock.SYSTEM);
  private final System.Logger logger;
  private final String instance;

  private EventLog(System.Logger logger, String instance) {
    this.logger = logger;
    this.instance = instance;
  }

  /**
   * Returns an event log that writes to the logger {@code org.sedgeroad}.
   *
   * @param instance name of the instance, written as a field of each line
   */
  public static EventLog of(String instance) {
    return new EventLog(System.getLogger("org.sedgeroad"), instance);
  }

  /**
   * Logs an event that occurs for every request. At high rates only the events of a sample of the
   * requests are logged.
   *
   * @param request id of the request or item that the event is about
   * @param event the event
   * @param fields additional fields of the line
   */
  public void logRoutine(String request, LogEvent event, EventField... fields) {
    if (sampler.sample(request)) {
      write(event, fields);
    }
    logOmittedLines();
  }

  /**
   * Logs an event.
   *
   * @param event the event
   * @param fields additional fields of the line
   */
  public void log(LogEvent event, EventField... fields) {
    write(event, fields);
    logOmittedLines();
  }

  private void logOmittedLines() {
    sampler
        .endWindow()
        .ifPresent(
            omitted ->
                write(
                    LogEvent.LINES_SAMPLED,
                    EventField.of("lines", omitted.lines()),
                    EventField.of("one_request_in", omitted.oneIn())));
  }

  private void write(LogEvent event, EventField... fields) {
    if (!logger.isLoggable(event.level())) {
      return;
    }
    ObjectNode line = MAPPER.createObjectNode();
    line.put("time", Instant.now().toString());
    line.put("level", event.level().getName());
    line.put("event", event.number());
    line.put("message", event.text());
    line.put("instance", instance);
    for (EventField field : fields) {
      line.put(field.name(), String.valueOf(field.value()));
    }
    try {
      logger.log(event.level(), MAPPER.writeValueAsString(line));
    } catch (JsonProcessingException failure) {
      logger.log(event.level(), event.text(), failure);
    }
  }
}
