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

/** Executes the statement that shows the items of a job page by page. */
final class ItemCommands {
  /**
   * Number of reads after which a page ends, even if it has few rows or none. Without this bound, a
   * page of items in a rare state could cost a read for each segment of a large job.
   */
  private static final int MAX_READS_PER_PAGE = 64;

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
          ? JobCommands.noSuchJob(statement.job())
          : ObjectChanges.unavailable(found);
    }
    StoreResult<List<Segment>> segments = jobs.segments(statement.job());
    if (!(segments instanceof StoreResult.Done<List<Segment>> listed)) {
      return ObjectChanges.unavailable(segments);
    }
    Map<Integer, Segment> claimedSegments = new HashMap<>();
    listed.value().forEach(segment -> claimedSegments.put(segment.key().index(), segment));
    try {
      return new Page(statement, done.value(), claimedSegments).read();
    } catch (ReadFailure failure) {
      return ObjectChanges.unavailable(failure.result);
    }
  }

  /** Thrown when an object that a page needs can't be read. */
  private static final class ReadFailure extends Exception {
    private static final long serialVersionUID = 1;
    private final transient StoreResult<?> result;

    ReadFailure(StoreResult<?> result) {
      this.result = result;
    }
  }

  /** Collects the rows of one page. */
  private final class Page {
    private final Statement.ShowItems statement;
    private final Job job;
    private final Map<Integer, Segment> claimedSegments;
    private final TableBuilder table = new TableBuilder("item", "custom_id", "state", "error");
    private int readCount;

    Page(Statement.ShowItems statement, Job job, Map<Integer, Segment> claimedSegments) {
      this.statement = statement;
      this.job = job;
      this.claimedSegments = claimedSegments;
    }

    CommandResult read() throws ReadFailure {
      ItemPosition start = statement.after().orElse(new ItemPosition(0, -1));
      for (int index = start.segment(); index < job.segmentCount(); index++) {
        if (readCount >= MAX_READS_PER_PAGE) {
          return resultWithNextPage(new ItemPosition(index - 1, SegmentStates.AFTER_LAST_ITEM));
        }
        int firstItem = index == start.segment() ? start.item() + 1 : 0;
        Optional<ItemPosition> lastRow = addSegment(index, firstItem);
        if (lastRow.isPresent()) {
          return resultWithNextPage(lastRow.get());
        }
      }
      return CommandResult.done(table.build());
    }

    private Optional<ItemPosition> addSegment(int index, int firstItem) throws ReadFailure {
      Segment segment = claimedSegments.get(index);
      List<ItemState> states = segment == null ? null : SegmentStates.states(segment);
      if (states == null && !isSelected(SegmentStates.unclaimedState(job))
          || !mayContainSelected(states, firstItem)) {
        return Optional.empty();
      }
      List<String> lines = lines(Kinds.INPUTS, job.fileId() + "." + index);
      Map<Integer, String> errors = Map.of();
      for (int item = firstItem; item < lines.size(); item++) {
        ItemState state = states == null ? SegmentStates.unclaimedState(job) : states.get(item);
        if (!isSelected(state)) {
          continue;
        }
        boolean hasError = state == ItemState.FAILED || state == ItemState.OUTCOME_UNKNOWN;
        if (hasError && errors.isEmpty()) {
          errors = errors(segment);
        }
        table.add(
            new ItemPosition(index, item),
            parse(lines.get(item)).path("custom_id").asText(),
            Tokens.toText(state),
            hasError ? errors.getOrDefault(item, "") : "");
        if (table.rowCount() == statement.limit()) {
          return Optional.of(new ItemPosition(index, item));
        }
      }
      return Optional.empty();
    }

    private boolean isSelected(ItemState state) {
      return statement.state().map(wanted -> wanted == state).orElse(true);
    }

    private boolean mayContainSelected(List<ItemState> states, int firstItem) {
      return states == null
          || states.subList(Math.min(firstItem, states.size()), states.size()).stream()
              .anyMatch(this::isSelected);
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
      readCount++;
      StoreResult<StoredObject> read = store.get(kind, name);
      if (!(read instanceof StoreResult.Done<StoredObject> done)) {
        throw new ReadFailure(read);
      }
      return CompressedLines.expand(done.value().spec().path("lines").asText());
    }

    private CommandResult resultWithNextPage(ItemPosition last) {
      List<String> nextStatement = new ArrayList<>(List.of("SHOW ITEMS OF JOB '" + job.id() + "'"));
      statement
          .state()
          .ifPresent(state -> nextStatement.add("WHERE STATE = " + Tokens.toText(state)));
      nextStatement.add("LIMIT " + statement.limit());
      nextStatement.add("AFTER " + last);
      return new CommandResult.Done(
          table.build(), Optional.of(String.join(" ", nextStatement)), Optional.empty());
    }
  }

  private JsonNode parse(String line) {
    try {
      return mapper.readTree(line);
    } catch (JsonProcessingException invalid) {
      throw new IllegalStateException(
          "a stored line of an input or a result is not valid JSON", invalid);
    }
  }

  /** Derives the states of items from segments and jobs. */
  private static final class SegmentStates {
    /** Greater than every index within a segment. */
    static final int AFTER_LAST_ITEM = 9_999;

    static List<ItemState> states(Segment segment) {
      return segment.states().chars().mapToObj(code -> ItemState.ofCode((char) code)).toList();
    }

    static ItemState unclaimedState(Job job) {
      return job.state() == JobState.CANCELLED ? ItemState.CANCELLED : ItemState.WAITING;
    }
  }
}
