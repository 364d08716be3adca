package org.sedgeroad.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.job.CompressedLines;
import org.sedgeroad.job.ItemState;
import org.sedgeroad.job.Job;
import org.sedgeroad.job.JobService;
import org.sedgeroad.job.JobState;
import org.sedgeroad.job.Segment;
import org.sedgeroad.store.ObjectStore;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;

/** Shows the items of a job page by page. */
final class ItemCommands {
  /** Reads per page; rare items of a large job would else cost a read for each of its segments. */
  private static final int MOST_READS = 64;

  private final ObjectMapper mapper = new ObjectMapper();
  private final JobService jobs;
  private final ObjectStore store;

  ItemCommands(JobService jobs, ObjectStore store) {
    this.jobs = jobs;
    this.store = store;
  }

  CommandResult show(Statement.ShowItems statement) {
    StoreResult<Job> found = jobs.find(statement.job());
    if (!(found instanceof StoreResult.Done<Job> done)) {
      return found instanceof StoreResult.Absent
          ? JobCommands.missing(statement.job())
          : ObjectChanges.unavailable(found);
    }
    StoreResult<List<Segment>> segments = jobs.segments(statement.job());
    if (!(segments instanceof StoreResult.Done<List<Segment>> listed)) {
      return ObjectChanges.unavailable(segments);
    }
    Map<Integer, Segment> claimed = new HashMap<>();
    listed.value().forEach(segment -> claimed.put(segment.key().index(), segment));
    try {
      return new Page(statement, done.value(), claimed).read();
    } catch (ReadFailure failure) {
      return ObjectChanges.unavailable(failure.result);
    }
  }

  /** Ends the reading of a page because an object could not be read. */
  private static final class ReadFailure extends Exception {
    private static final long serialVersionUID = 1;
    private final transient StoreResult<?> result;

    ReadFailure(StoreResult<?> result) {
      this.result = result;
    }
  }

  /** One page in the making. */
  private final class Page {
    private final Statement.ShowItems statement;
    private final Job job;
    private final Map<Integer, Segment> claimed;
    private final TableBuilder table = new TableBuilder("item", "custom_id", "state", "error");
    private int reads;

    Page(Statement.ShowItems statement, Job job, Map<Integer, Segment> claimed) {
      this.statement = statement;
      this.job = job;
      this.claimed = claimed;
    }

    CommandResult read() throws ReadFailure {
      ItemPosition start = statement.after().orElse(new ItemPosition(0, -1));
      for (int index = start.segment(); index < job.segmentCount(); index++) {
        if (reads >= MOST_READS) {
          return result(new ItemPosition(index - 1, Segments.LAST_ITEM));
        }
        int from = index == start.segment() ? start.item() + 1 : 0;
        Optional<ItemPosition> full = addSegment(index, from);
        if (full.isPresent()) {
          return result(full.get());
        }
      }
      return CommandResult.done(table.build());
    }

    private Optional<ItemPosition> addSegment(int index, int from) throws ReadFailure {
      Segment segment = claimed.get(index);
      List<ItemState> states = segment == null ? null : Segments.states(segment);
      if (states == null && !mayShow(Segments.unclaimed(job)) || !anyShown(states, from)) {
        return Optional.empty();
      }
      List<String> lines = lines(Kinds.INPUTS, job.fileId() + "." + index);
      Map<Integer, String> errors = Map.of();
      for (int item = from; item < lines.size(); item++) {
        ItemState state = states == null ? Segments.unclaimed(job) : states.get(item);
        if (!mayShow(state)) {
          continue;
        }
        boolean explained = state == ItemState.FAILED || state == ItemState.OUTCOME_UNKNOWN;
        if (explained && errors.isEmpty()) {
          errors = errors(segment);
        }
        table.add(
            new ItemPosition(index, item),
            parse(lines.get(item)).path("custom_id").asText(),
            Words.toText(state),
            explained ? errors.getOrDefault(item, "") : "");
        if (table.size() == statement.limit()) {
          return Optional.of(new ItemPosition(index, item));
        }
      }
      return Optional.empty();
    }

    private boolean mayShow(ItemState state) {
      return statement.state().map(wanted -> wanted == state).orElse(true);
    }

    private boolean anyShown(List<ItemState> states, int from) {
      return states == null
          || states.subList(Math.min(from, states.size()), states.size()).stream()
              .anyMatch(this::mayShow);
    }

    private Map<Integer, String> errors(Segment segment) throws ReadFailure {
      Map<Integer, String> errors = new HashMap<>();
      for (String chunk : segment.chunks()) {
        for (String line : lines(Kinds.RESULTS, chunk)) {
          JsonNode node = parse(line);
          String id = node.path("id").asText();
          String message = node.path("error").path("message").asText("");
          errors.put(Integer.parseInt(id.substring(id.lastIndexOf('.') + 1)), message);
        }
      }
      return errors;
    }

    private List<String> lines(String kind, String name) throws ReadFailure {
      reads++;
      StoreResult<StoredObject> read = store.get(kind, name);
      if (!(read instanceof StoreResult.Done<StoredObject> done)) {
        throw new ReadFailure(read);
      }
      return CompressedLines.expand(done.value().spec().path("lines").asText());
    }

    private CommandResult result(ItemPosition last) {
      List<String> words = new ArrayList<>(List.of("SHOW ITEMS OF JOB '" + job.id() + "'"));
      statement.state().ifPresent(state -> words.add("WHERE STATE = " + Words.toText(state)));
      words.add("LIMIT " + statement.limit());
      words.add("AFTER " + last);
      return new CommandResult.Done(
          table.build(), Optional.of(String.join(" ", words)), Optional.empty());
    }
  }

  private JsonNode parse(String line) {
    try {
      return mapper.readTree(line);
    } catch (JsonProcessingException invalid) {
      throw new IllegalStateException("a stored line is not JSON", invalid);
    }
  }

  /** Readings of segments. */
  private static final class Segments {
    /** Greater than every index within a segment. */
    static final int LAST_ITEM = 9_999;

    static List<ItemState> states(Segment segment) {
      return segment.states().chars().mapToObj(code -> ItemState.ofCode((char) code)).toList();
    }

    static ItemState unclaimed(Job job) {
      return job.state() == JobState.CANCELLED ? ItemState.CANCELLED : ItemState.WAITING;
    }
  }
}
