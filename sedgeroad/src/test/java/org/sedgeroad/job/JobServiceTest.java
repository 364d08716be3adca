package org.sedgeroad.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sedgeroad.configuration.Kinds;
import org.sedgeroad.store.FakeStore;
import org.sedgeroad.store.FakeStore.Fault;
import org.sedgeroad.store.StoreWriter;

/** Guards against jobs that are accepted twice, partly stored, or lost after acceptance. */
class JobServiceTest {
  private final FakeStore store = new FakeStore();
  private final JobService service = JobService.of(StoreWriter.of(store, "client", () -> {}));

  private static String line(int item, String text) {
    return "{\"custom_id\":\"i%d\",\"url\":\"/v1/completions\",".formatted(item)
        + "\"body\":{\"model\":\"lenga-7b\",\"prompt\":\"%s\"}}\n".formatted(text);
  }

  private UploadResult upload(String content) throws IOException {
    JobService.UploadSession session = service.beginUpload("taller-lenga", "items.jsonl");
    session.accept(ByteBuffer.wrap(content.getBytes(StandardCharsets.UTF_8)));
    return session.finish();
  }

  private String uploadOneItem() throws IOException {
    return assertInstanceOf(UploadResult.Stored.class, upload(line(0, "a"))).file().id();
  }

  private SubmitResult submit(String file, String key) {
    return service.submit(
        new Submission(
            "taller-lenga",
            file,
            "/v1/completions",
            "24h",
            Instant.EPOCH,
            key,
            JsonNodeFactory.instance.objectNode()));
  }

  private static String id(SubmitResult result) {
    return assertInstanceOf(SubmitResult.Accepted.class, result).job().id();
  }

  @Nested
  class Upload {
    @ParameterizedTest
    @CsvSource({"256,10,1", "257,10,2", "9,100000,2"})
    void packsByCountAndSize(int items, int length, int segments) throws IOException {
      StringBuilder content = new StringBuilder();
      for (int item = 0; item < items; item++) {
        content.append(line(item, "x".repeat(length)));
      }
      BatchFile file =
          assertInstanceOf(UploadResult.Stored.class, upload(content.toString())).file();
      assertEquals(segments, file.segmentCount());
      assertEquals(segments, store.objects(Kinds.INPUTS).size());
      assertEquals(items, file.itemCount());
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "{",
          "{\"custom_id\":\"i0\",\"url\":\"/v1/completions\",\"body\":{\"model\":\"m\"}}",
          "{\"custom_id\":\"b\",\"url\":\"/other\",\"body\":{\"model\":\"m\"}}",
          "{\"custom_id\":\"b\",\"url\":\"/v1/completions\",\"body\":{\"model\":\"m\"}} {",
          "{\"custom_id\":\"b\",\"url\":\"/v1/completions\",\"body\":{}}"
        })
    void rejectsTheWholeFileAndReportsTheLine(String invalidLine) throws IOException {
      UploadResult result = upload(line(0, "a") + "\n" + invalidLine + "\n" + line(1, "b"));
      assertEquals(3, assertInstanceOf(UploadResult.BadLine.class, result).line());
      assertEquals(0, store.objects(Kinds.FILES).size());
    }

    @Test
    void failsAsAWholeWhenAnInputCannotBeStored() throws IOException {
      store.failNext("create", Kinds.INPUTS, Fault.OUTAGE, 1);
      assertInstanceOf(UploadResult.StoreFailed.class, upload(line(0, "a")));
      assertEquals(0, store.objects(Kinds.FILES).size());
    }
  }

  @Nested
  class Submit {
    @Test
    void findsTheSameJobWhenResentWithAKeyOrByFile() throws IOException {
      String file = uploadOneItem();
      String keyed = id(submit(file, "evening"));
      assertEquals(keyed, id(submit(file, "evening")));
      String byFile = id(submit(file, ""));
      assertEquals(byFile, id(submit(file, "")));
      assertNotEquals(keyed, byFile);
      assertEquals(2, store.objects(Kinds.JOBS).size());
    }

    @Test
    void acceptsOnceWhenTheAnswerIsLost() throws IOException {
      String file = uploadOneItem();
      store.failNext("create", Kinds.JOBS, Fault.LOST_ANSWER, 1);
      id(submit(file, ""));
      assertEquals(1, store.objects(Kinds.JOBS).size());
    }

    @Test
    void createsNoJobWhenTheStoreIsDown() throws IOException {
      String file = uploadOneItem();
      store.failNext("create", Kinds.JOBS, Fault.OUTAGE, 1);
      assertInstanceOf(SubmitResult.Refused.class, submit(file, ""));
      assertEquals(0, store.objects(Kinds.JOBS).size());
    }
  }

  @Nested
  class Cancel {
    @Test
    void reportsTooLateWhenTheJobCompletesConcurrently() throws IOException {
      Job job = assertInstanceOf(SubmitResult.Accepted.class, submit(uploadOneItem(), "")).job();
      boolean[] raced = {false};
      store.faults =
          (operation, kind) -> {
            // The last segment is counted between the read and the write of the cancellation.
            if (operation.equals("update") && !raced[0]) {
              raced[0] = true;
              Job completed = job.withFinished(0, new ItemCounts(1, 0, 0, 0), Instant.EPOCH);
              long version = store.objects(Kinds.JOBS).get(0).version();
              store.update(Kinds.JOBS, job.id(), version, completed.toSpec());
            }
            return Fault.NONE;
          };
      assertInstanceOf(CancelResult.TooLate.class, service.cancel(job.id()));
      assertEquals(
          JobState.COMPLETED,
          Job.fromSpec(job.id(), store.objects(Kinds.JOBS).get(0).spec()).state());
    }
  }
}
