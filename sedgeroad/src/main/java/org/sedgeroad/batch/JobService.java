package org.sedgeroad.batch;

import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.gateway.Route;
import org.sedgeroad.peer.Rendezvous;
import org.sedgeroad.presence.LoadReport;
import org.sedgeroad.store.KindFollower;
import org.sedgeroad.store.StoreResult;
import org.sedgeroad.store.StoredObject;
import org.sedgeroad.store.WriteOutcome;

/**
 * Accepts jobs, answers reads of any job, and takes over the jobs of instances that are gone. Used
 * on the event loop; the results come through callbacks on it.
 */
public final class JobService implements KindFollower.Listener {
  /**
   * Time after the start in which no job is taken over, in milliseconds; the first reports of all
   * other instances have arrived by then.
   */
  private static final long SETTLE_MILLIS = 5_000;

  /**
   * Pause between two looks at the state of a job that is being loaded, in milliseconds; a
   * twentieth of the longest wait of a read.
   */
  private static final long LOAD_POLL_MILLIS = 50;

  /** Pause between two takeovers of a job, in milliseconds; a store is away for seconds. */
  private static final long TAKEOVER_RETRY_MILLIS = 1_000;

  /**
   * Pause before a job that the store did not give is read again, in milliseconds; as for lists.
   */
  private static final long RETRY_MILLIS = 500;

  private final BatchParts parts;
  private final JobRunner runner;
  private final PeerJobs peerJobs;
  private final JobDirectory directory = new JobDirectory();
  private final StoredResults storedResults;
  private final LogRefresh refresh;
  private final Map<String, List<Consumer<AcceptResult>>> accepting = new HashMap<>();
  private final Map<String, Long> acceptingTokens = new HashMap<>();
  private final Set<String> loading = new HashSet<>();

  /** Apart from {@link #loading}: the watch may show the new owner before the write's answer. */
  private final Set<String> takingOver = new HashSet<>();

  /** Jobs that this process has taken over from another instance. */
  private final Set<String> jobsTakenOver = new HashSet<>();

  private final long takeOverFromNanos;
  private boolean deleting;

  /** Creates a service. */
  public JobService(BatchParts parts, JobRunner runner, PeerJobs peerJobs) {
    this.parts = parts;
    this.runner = runner;
    this.peerJobs = peerJobs;
    this.storedResults = new StoredResults(parts);
    this.refresh = new LogRefresh(parts);
    this.takeOverFromNanos = parts.clock().deadlineAfterMillis(SETTLE_MILLIS);
  }

  // -----------------------------------------------------------------------

  /** Accepts a job on a batch route, once for each id. */
  public void submit(Route route, JobSubmission submission, Consumer<AcceptResult> result) {
    String id = submission.id();
    Optional<JobDirectory.KnownJob> known = directory.find(id);
    if (known.isPresent()) {
      result.accept(new AcceptResult.Accepted(known.get().head(), known.get().version(), false));
      return;
    }
    List<Consumer<AcceptResult>> same = accepting.get(id);
    if (same != null) {
      same.add(result);
      return;
    }
    long limit = route.batch().maximumWaitingTokens();
    long waiting = waitingTokens(route);
    if (limit > 0 && waiting + submission.tokens() > limit) {
      parts.log().log(
          LogEvent.JOB_REFUSED,
          EventField.of("job", id),
          EventField.of("waiting_tokens", waiting),
          EventField.of("tokens", submission.tokens()),
          EventField.of("limit", limit));
      result.accept(new AcceptResult.OverLimit());
      return;
    }
    accepting.put(id, new ArrayList<>(List.of(result)));
    acceptingTokens.put(id, submission.tokens());
    JobHead draft =
        new JobHead(
            id,
            submission.host(),
            submission.path(),
            System.currentTimeMillis(),
            submission.items().size(),
            0,
            submission.tokens(),
            parts.instance(),
            false);
    parts
        .storeWorkers()
        .execute(
            () -> {
              AcceptResult outcome = parts.store().accept(submission, draft);
              parts.loop().execute(() -> accepted(route, submission, outcome));
            });
  }

  /** Reads results of a job from a position on, waiting for one until a monotonic deadline. */
  public void read(String id, int after, long deadlineNanos, Consumer<ReadResult> result) {
    Optional<OwnedJob> own = runner.job(id);
    if (own.isPresent()) {
      readOwn(own.get(), after, deadlineNanos, result);
      return;
    }
    withHead(
        id,
        result,
        head -> {
          if (head.owner().equals(parts.instance())) {
            awaitLoaded(id, deadlineNanos, result, () -> read(id, after, deadlineNanos, result));
            return;
          }
          ownerOrStore(
              peerJobs.results(head.owner(), id, after, deadlineNanos),
              ReadResult.Page.class,
              result,
              () -> storedResults.read(head, after, result));
        });
  }

  /** Reads the body of an item. */
  public void readBody(String id, String item, Consumer<ReadResult> result) {
    Optional<OwnedJob> own = runner.job(id);
    if (own.isPresent()) {
      OwnedItem found = own.get().item(item);
      result.accept(found == null ? new ReadResult.Absent() : body(found.spec()));
      return;
    }
    withHead(
        id,
        result,
        head ->
            ownerOrStore(
                peerJobs.body(head.owner(), id, item),
                ReadResult.Body.class,
                result,
                () -> readStoredBody(head, item, result)));
  }

  /** Ends a job for its client. */
  public void end(String id, Consumer<ReadResult> result) {
    parts
        .storeWorkers()
        .execute(
            () -> {
              WriteOutcome outcome = parts.store().end(id);
              parts.loop().execute(() -> endWritten(id, outcome, result));
            });
  }

  /** Stops a job that another instance has ended for its client. */
  public void ended(String id) {
    runner.end(id);
  }

  /** Answers another instance's read; Unsure if this instance does not run the job. */
  public void readForPeer(String id, int after, long deadlineNanos, Consumer<ReadResult> result) {
    runner
        .job(id)
        .ifPresentOrElse(
            job -> readOwn(job, after, deadlineNanos, result),
            () -> result.accept(new ReadResult.Unsure("not run here")));
  }

  /** Answers another instance's read of a body; Unsure if this instance does not run the job. */
  public void readBodyForPeer(String id, String item, Consumer<ReadResult> result) {
    runner
        .job(id)
        .ifPresentOrElse(
            job -> readBody(id, item, result),
            () -> result.accept(new ReadResult.Unsure("not run here")));
  }

  // -----------------------------------------------------------------------

  @Override
  public void listed(List<StoredObject> objects) {
    objects.forEach(this::changed);
    // A job that is missing was deleted unseen, unless it was accepted after the list.
    Set<String> present = new HashSet<>();
    objects.forEach(object -> present.add(object.name()));
    long now = parts.clock().nanos();
    directory.all().stream()
        .filter(job -> !present.contains(job.head().id()) && isOld(job, now))
        .forEach(job -> forget(job.head().id()));
  }

  @Override
  public void changed(StoredObject object) {
    if (object.isDeleted()) {
      forget(object.name());
    } else {
      learn(JobStore.decode(object), object.version());
    }
  }

  /** Takes over jobs whose owner is gone; called several times a second. */
  public void takeOverLostJobs() {
    long now = parts.clock().nanos();
    List<String> alive = parts.peers().alive(now);
    if (now - takeOverFromNanos < 0 || parts.peers().isIsolated(now)) {
      return;
    }
    for (JobDirectory.KnownJob job : directory.all()) {
      String owner = job.head().owner();
      if (!job.head().ended()
          && !owner.equals(parts.instance())
          && !alive.contains(owner)
          && !storedResults.isWhole(job.head())
          && !takingOver.contains(job.head().id())
          && Rendezvous.isFirst(job.head().id(), parts.instance(), alive)) {
        takeOver(job);
      }
    }
  }

  /**
   * Deletes a job that is over and need not be readable any more; called several times a second.
   */
  public void deleteOldJob() {
    long now = parts.clock().nanos();
    if (!deleting && !parts.peers().isIsolated(now)) {
      List<String> alive = parts.peers().alive(now);
      directory.all().stream()
          .filter(job -> isOld(job, now) && isOver(job.head(), alive))
          .findFirst()
          .ifPresent(this::delete);
    }
  }

  // -----------------------------------------------------------------------

  private boolean isOld(JobDirectory.KnownJob job, long nowNanos) {
    return nowNanos - job.sinceNanos() > parts.keepJobMillis() * 1_000_000L;
  }

  /** Returns whether a job has ended and this instance is the one to delete it. */
  private boolean isOver(JobHead head, List<String> alive) {
    if (head.owner().equals(parts.instance())) {
      return runner.job(head.id()).map(job -> job.isWhole() || job.isEnded()).orElse(false);
    }
    return !alive.contains(head.owner())
        && (head.ended() || storedResults.isWhole(head))
        && Rendezvous.isFirst(head.id(), parts.instance(), alive);
  }

  private void delete(JobDirectory.KnownJob job) {
    deleting = true;
    JobHead head = job.head();
    parts
        .storeWorkers()
        .execute(
            () -> {
              StoreResult<StoredObject> outcome =
                  parts.store().delete(head.id(), head.itemObjects());
              parts.loop().execute(() -> deleted(head.id(), outcome));
            });
  }

  private void deleted(String id, StoreResult<StoredObject> outcome) {
    if (JobStore.isGone(outcome)) {
      deleting = false;
      forget(id);
      parts.log().log(LogEvent.JOB_DELETED, EventField.of("job", id));
    } else {
      parts.log().log(
          LogEvent.STORE_UNAVAILABLE, EventField.of("job", id), EventField.of("deletion", outcome));
      parts.loop().at(parts.clock().deadlineAfterMillis(RETRY_MILLIS), () -> deleting = false);
    }
  }

  private void forget(String id) {
    directory.forget(id);
    storedResults.forget(id);
    jobsTakenOver.remove(id);
    runner.forget(id);
  }

  private long waitingTokens(Route route) {
    long now = parts.clock().nanos();
    long tokens = runner.waitingTokens().getOrDefault(route.name(), 0L);
    for (long inProgress : acceptingTokens.values()) {
      tokens += inProgress;
    }
    for (LoadReport report : parts.peers().current(now)) {
      tokens += report.waitingTokens().getOrDefault(route.name(), 0L);
    }
    List<String> alive = parts.peers().alive(now);
    for (JobDirectory.KnownJob job : directory.all()) {
      JobHead head = job.head();
      boolean counted = head.owner().equals(parts.instance()) || alive.contains(head.owner());
      if (!counted && !head.ended() && !storedResults.isWhole(head) && matches(route, head)) {
        tokens += head.tokens();
      }
    }
    return tokens;
  }

  private boolean matches(Route route, JobHead head) {
    return parts
        .routes()
        .current()
        .match(head.host(), head.path())
        .map(found -> found.name().equals(route.name()))
        .orElse(false);
  }

  private void accepted(Route route, JobSubmission submission, AcceptResult outcome) {
    acceptingTokens.remove(submission.id());
    if (outcome instanceof AcceptResult.Accepted accepted) {
      boolean own = accepted.head().owner().equals(parts.instance());
      directory.learn(accepted.head(), accepted.version(), parts.clock().nanos());
      JobHead head =
          directory.find(submission.id()).map(JobDirectory.KnownJob::head).orElse(accepted.head());
      if (accepted.created() && own && head.owner().equals(parts.instance())) {
        long now = parts.clock().nanos();
        runner.add(new OwnedJob(head, submission.items(), dueNanos(head, now), now));
      } else if (own && runner.job(submission.id()).isEmpty()) {
        load(head);
      }
      parts.log().log(
          LogEvent.JOB_ACCEPTED,
          EventField.of("job", submission.id()),
          EventField.of("route", route.name()),
          EventField.of("items", submission.items().size()),
          EventField.of("tokens", submission.tokens()),
          EventField.of("owner", accepted.head().owner()),
          EventField.of("version", accepted.version()));
    } else {
      parts.log().log(
          LogEvent.JOB_REFUSED,
          EventField.of("job", submission.id()),
          EventField.of("outcome", outcome));
    }
    accepting.remove(submission.id()).forEach(waiting -> waiting.accept(outcome));
  }

  private void learn(JobHead head, long version) {
    if (!directory.learn(head, version, parts.clock().nanos())) {
      return;
    }
    boolean own = head.owner().equals(parts.instance());
    if (!own) {
      runner.drop(head.id());
    } else if (head.ended()) {
      runner.end(head.id());
    }
    if (own && runner.job(head.id()).isEmpty() && !accepting.containsKey(head.id())) {
      load(head);
    }
  }

  /** Reads the items and results of a job that this instance owns, then runs it. */
  private void load(JobHead head) {
    if (!loading.add(head.id())) {
      return;
    }
    parts
        .storeWorkers()
        .execute(
            () -> {
              StoreResult<List<ItemSpec>> items = parts.store().readItems(head);
              StoreResult<List<List<JobResult>>> chunks = parts.store().readChunks(head.id(), 0);
              parts.loop().execute(() -> loaded(head, items, chunks));
            });
  }

  private void loaded(
      JobHead head, StoreResult<List<ItemSpec>> items, StoreResult<List<List<JobResult>>> chunks) {
    loading.remove(head.id());
    JobHead current = directory.find(head.id()).map(JobDirectory.KnownJob::head).orElse(head);
    if (!current.owner().equals(parts.instance())) {
      return;
    }
    if (items instanceof StoreResult.Done<List<ItemSpec>> specs
        && chunks instanceof StoreResult.Done<List<List<JobResult>>> results) {
      long now = parts.clock().nanos();
      OwnedJob job = new OwnedJob(current, specs.value(), dueNanos(current, now), now);
      results.value().forEach(job::addChunk);
      if (jobsTakenOver.contains(head.id())) {
        job.setTakenOver();
      }
      runner.add(job);
    } else {
      parts.log().log(
          LogEvent.STORE_UNAVAILABLE,
          EventField.of("job", head.id()),
          EventField.of("items", items.getClass().getSimpleName()),
          EventField.of("results", chunks.getClass().getSimpleName()));
      parts.loop().at(parts.clock().deadlineAfterMillis(RETRY_MILLIS), () -> load(current));
    }
  }

  private long dueNanos(JobHead head, long nowNanos) {
    long runTarget =
        parts
            .routes()
            .current()
            .match(head.host(), head.path())
            .map(route -> route.batch().runTargetMillis())
            .orElse(0L);
    // A clock may have been set; the time decides only the order of items.
    long left = head.submittedMillis() + runTarget - System.currentTimeMillis();
    return nowNanos + Math.max(0, Math.min(runTarget, left)) * 1_000_000L;
  }

  private void takeOver(JobDirectory.KnownJob job) {
    takingOver.add(job.head().id());
    parts
        .storeWorkers()
        .execute(
            () -> {
              WriteOutcome outcome =
                  parts.store().takeOver(job.head(), job.version(), parts.instance());
              parts.loop().execute(() -> takenOver(job, outcome));
            });
  }

  private void takenOver(JobDirectory.KnownJob job, WriteOutcome outcome) {
    parts.log().log(
        LogEvent.SEGMENT_TAKEN_OVER,
        EventField.of("job", job.head().id()),
        EventField.of("from", job.head().owner()),
        EventField.of("version", job.version()),
        EventField.of("outcome", outcome.getClass().getSimpleName()));
    if (outcome instanceof WriteOutcome.Written written) {
      jobsTakenOver.add(job.head().id());
      learn(JobStore.decode(written.object()), written.object().version());
    } else if (outcome instanceof WriteOutcome.Lost lost && lost.current() != null) {
      learn(JobStore.decode(lost.current()), lost.current().version());
    }
    // Whatever came of it, the job may need another takeover later, but not at once.
    parts
        .loop()
        .at(
            parts.clock().deadlineAfterMillis(TAKEOVER_RETRY_MILLIS),
            () -> takingOver.remove(job.head().id()));
  }

  /** Passes on what the owner of a job answers, or reads the store if it does not answer it. */
  private void ownerOrStore(
      CompletableFuture<ReadResult> owner,
      Class<? extends ReadResult> expected,
      Consumer<ReadResult> result,
      Runnable store) {
    owner.thenAccept(
        answer ->
            parts
                .loop()
                .execute(
                    () -> {
                      if (expected.isInstance(answer)) {
                        result.accept(answer);
                      } else {
                        store.run();
                      }
                    }));
  }

  private void readOwn(OwnedJob job, int after, long deadlineNanos, Consumer<ReadResult> result) {
    boolean current = job.listed().size() > after || job.isWhole() || job.isAppending();
    if (!job.isTakenOver() || current) {
      readListed(job, after, deadlineNanos, result);
      return;
    }
    refresh.refresh(job, () -> readListed(job, after, deadlineNanos, result));
  }

  private void readListed(
      OwnedJob job, int after, long deadlineNanos, Consumer<ReadResult> result) {
    boolean more = job.listed().size() > after || job.isWhole() || job.isEnded();
    if (more || parts.clock().hasPassed(deadlineNanos)) {
      result.accept(new ReadResult.Page(ResultPage.of(job.items().size(), job.listed(), after)));
      return;
    }
    OneTime<ReadResult> once = new OneTime<>(result);
    Runnable answer =
        () ->
            once.accept(
                new ReadResult.Page(ResultPage.of(job.items().size(), job.listed(), after)));
    job.awaitChunk(answer);
    parts.loop().at(deadlineNanos, answer);
  }

  private void awaitLoaded(
      String id, long deadlineNanos, Consumer<ReadResult> result, Runnable task) {
    if (runner.job(id).isPresent()) {
      task.run();
    } else if (parts.clock().hasPassed(deadlineNanos)) {
      result.accept(new ReadResult.Unsure("the job is being loaded"));
    } else {
      parts
          .loop()
          .at(
              parts.clock().deadlineAfterMillis(LOAD_POLL_MILLIS),
              () -> awaitLoaded(id, deadlineNanos, result, task));
    }
  }

  /** Finds the head of a job, in the store if it is not known here. */
  private void withHead(String id, Consumer<ReadResult> result, Consumer<JobHead> task) {
    Optional<JobDirectory.KnownJob> known = directory.find(id);
    if (known.isPresent()) {
      task.accept(known.get().head());
      return;
    }
    parts
        .storeWorkers()
        .execute(
            () -> {
              StoreResult<StoredObject> read = parts.store().read(id);
              parts
                  .loop()
                  .execute(
                      () -> {
                        if (read instanceof StoreResult.Done<StoredObject> done) {
                          changed(done.value());
                          task.accept(JobStore.decode(done.value()));
                        } else if (read instanceof StoreResult.Absent) {
                          result.accept(new ReadResult.Absent());
                        } else {
                          result.accept(new ReadResult.Unsure(read.toString()));
                        }
                      });
            });
  }

  private void readStoredBody(JobHead head, String item, Consumer<ReadResult> result) {
    parts
        .storeWorkers()
        .execute(
            () -> {
              StoreResult<List<ItemSpec>> read = parts.store().readItems(head);
              ReadResult answer = new ReadResult.Unsure(read.getClass().getSimpleName());
              if (read instanceof StoreResult.Done<List<ItemSpec>> done) {
                answer =
                    done.value().stream()
                        .filter(spec -> spec.id().equals(item))
                        .findFirst()
                        .map(JobService::body)
                        .orElse(new ReadResult.Absent());
              }
              ReadResult found = answer;
              parts.loop().execute(() -> result.accept(found));
            });
  }

  private static ReadResult body(ItemSpec spec) {
    return new ReadResult.Body(Base64.getDecoder().decode(spec.body()));
  }

  private void endWritten(String id, WriteOutcome outcome, Consumer<ReadResult> result) {
    if (outcome instanceof WriteOutcome.Written written) {
      JobHead head = JobStore.decode(written.object());
      learn(head, written.object().version());
      runner.end(id);
      if (!head.owner().equals(parts.instance())) {
        // The owner also learns of it from the store; this is quicker.
        peerJobs.ended(head.owner(), id);
      }
      result.accept(new ReadResult.Ended());
    } else if (outcome instanceof WriteOutcome.Lost lost && lost.current() == null) {
      result.accept(new ReadResult.Absent());
    } else {
      result.accept(new ReadResult.Unsure(outcome.toString()));
    }
  }
}
