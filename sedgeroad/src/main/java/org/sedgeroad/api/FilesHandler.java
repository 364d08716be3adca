package org.sedgeroad.api;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.MultipartParser;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.sedgeroad.event.EventField;
import org.sedgeroad.event.EventLog;
import org.sedgeroad.event.LogEvent;
import org.sedgeroad.job.BatchFile;
import org.sedgeroad.job.Job;
import org.sedgeroad.job.JobService;
import org.sedgeroad.job.UploadResult;
import org.sedgeroad.live.LiveFailure;
import org.sedgeroad.store.StoreResult;

/** Serves uploads of batch files and downloads of job results. Runs on worker threads. */
final class FilesHandler {
  /** Prefix of the id of the file with the successful results of a job. */
  static final String OUTPUT_PREFIX = "output-";

  /** Prefix of the id of the file with the errors of a job. */
  static final String ERRORS_PREFIX = "errors-";

  private final JobService jobs;
  private final EventLog log;

  FilesHandler(JobService jobs, EventLog log) {
    this.jobs = jobs;
    this.log = log;
  }

  /** Stores an uploaded file while it arrives and responds with its description. */
  void upload(HttpServerExchange exchange, String member) throws IOException {
    String type = exchange.getRequestHeaders().getFirst(Headers.CONTENT_TYPE);
    String boundary = type == null ? null : Headers.extractQuotedValueFromHeader(type, "boundary");
    if (boundary == null) {
      ApiErrors.sendInvalid(exchange, "file", "expected multipart/form-data with a file part");
      return;
    }
    UploadPartHandler partHandler = new UploadPartHandler(jobs, member);
    ByteBufferPool pool = exchange.getConnection().getByteBufferPool();
    MultipartParser.ParseState parser =
        MultipartParser.beginParse(
            pool, partHandler, boundary.getBytes(StandardCharsets.US_ASCII), "UTF-8");
    InputStream input = exchange.getInputStream();
    byte[] buffer = new byte[16 * 1024];
    int count = input.read(buffer);
    while (count >= 0) {
      parser.parse(ByteBuffer.wrap(buffer, 0, count));
      count = input.read(buffer);
    }
    if (!parser.isComplete() || partHandler.session == null) {
      ApiErrors.sendInvalid(exchange, "file", "the upload has no whole file part");
      return;
    }
    sendResult(exchange, partHandler.session.finish());
  }

  private void sendResult(HttpServerExchange exchange, UploadResult result) {
    if (result instanceof UploadResult.Stored stored) {
      Json.send(exchange, toJson(stored.file()));
    } else if (result instanceof UploadResult.BadLine invalid) {
      String linePrefix = invalid.line() > 0 ? "line " + invalid.line() + " " : "";
      log.log(LogEvent.REQUEST_REFUSED, EventField.of("reason", linePrefix + invalid.message()));
      ApiErrors.send(
          exchange,
          LiveFailure.notRun(400, "invalid_file", linePrefix + invalid.message()),
          "file");
    } else if (result instanceof UploadResult.StoreFailed failed) {
      log.log(LogEvent.STORE_UNAVAILABLE, EventField.of("reason", failed.reason()));
      ApiErrors.send(
          exchange,
          LiveFailure.notRun(503, "store_unavailable", "the file can't be stored now"),
          "file");
    }
  }

  /** Responds with the description of a file of the member. */
  void describe(HttpServerExchange exchange, String member, String id) {
    StoreResult<BatchFile> found = jobs.findFile(id);
    if (found instanceof StoreResult.Done<BatchFile> done && done.value().member().equals(member)) {
      Json.send(exchange, toJson(done.value()));
    } else if (found instanceof StoreResult.Unavailable) {
      sendStoreUnavailable(exchange);
    } else {
      ApiErrors.sendNotFound(exchange, "no such file: " + id);
    }
  }

  /** Responds with the results or the errors of a job, one JSON object per line. */
  void download(HttpServerExchange exchange, String member, String id) throws IOException {
    boolean output = id.startsWith(OUTPUT_PREFIX);
    String jobId = id.substring(id.indexOf('-') + 1);
    if (!output && !id.startsWith(ERRORS_PREFIX)) {
      ApiErrors.sendNotFound(exchange, "no such file: " + id);
      return;
    }
    StoreResult<Job> found = jobs.find(jobId);
    if (found instanceof StoreResult.Unavailable) {
      sendStoreUnavailable(exchange);
      return;
    }
    if (!(found instanceof StoreResult.Done<Job> done) || !done.value().member().equals(member)) {
      ApiErrors.sendNotFound(exchange, "no such file: " + id);
      return;
    }
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/jsonl");
    OutputStream body = exchange.getOutputStream();
    Optional<String> readError =
        jobs.results(
            done.value(),
            output,
            line -> {
              try {
                body.write((line + "\n").getBytes(StandardCharsets.UTF_8));
              } catch (IOException failure) {
                throw new UncheckedIOException(failure);
              }
            });
    if (readError.isEmpty()) {
      exchange.endExchange();
    } else if (exchange.isResponseStarted()) {
      // Without the final chunk the caller detects that the response is incomplete.
      exchange.getConnection().close();
    } else {
      sendStoreUnavailable(exchange);
    }
  }

  /** Returns the description of a file in the JSON format of the callers' API. */
  static ObjectNode toJson(BatchFile file) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("id", file.id());
    node.put("object", "file");
    node.put("bytes", file.bytes());
    node.put("created_at", file.createdAt().getEpochSecond());
    node.put("filename", file.name());
    node.put("purpose", "batch");
    node.put("status", "processed");
    return node;
  }

  /** Sends a 503 response that says that the store is unavailable and the request was not run. */
  static void sendStoreUnavailable(HttpServerExchange exchange) {
    ApiErrors.send(
        exchange,
        LiveFailure.notRun(503, "store_unavailable", "the store is unavailable; try again later"),
        null);
  }

  /** Passes the first part named {@code file} of a multipart body to an upload session. */
  private static final class UploadPartHandler implements MultipartParser.PartHandler {
    private final JobService jobs;
    private final String member;
    private JobService.UploadSession session;
    private boolean inFilePart;

    UploadPartHandler(JobService jobs, String member) {
      this.jobs = jobs;
      this.member = member;
    }

    @Override
    public void beginPart(HeaderMap headers) {
      String disposition = headers.getFirst(Headers.CONTENT_DISPOSITION);
      String name = Headers.extractQuotedValueFromHeader(disposition, "name");
      inFilePart = "file".equals(name) && session == null;
      if (inFilePart) {
        String filename = Headers.extractQuotedValueFromHeader(disposition, "filename");
        session = jobs.beginUpload(member, filename == null ? "upload.jsonl" : filename);
      }
    }

    @Override
    public void data(ByteBuffer bytes) {
      if (inFilePart) {
        session.accept(bytes);
      }
    }

    @Override
    public void endPart() {
      inFilePart = false;
    }
  }
}
