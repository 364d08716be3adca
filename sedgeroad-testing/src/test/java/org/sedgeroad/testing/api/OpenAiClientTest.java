package org.sedgeroad.testing.api;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.HttpResponse;
import com.openai.core.http.StreamResponse;
import com.openai.errors.NotFoundException;
import com.openai.errors.UnauthorizedException;
import com.openai.models.batches.Batch;
import com.openai.models.batches.BatchCreateParams;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import com.openai.models.files.FileCreateParams;
import com.openai.models.files.FileObject;
import com.openai.models.files.FilePurpose;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Iterator;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sedgeroad.testing.deployment.Deployment;
import org.sedgeroad.testing.deployment.DeploymentPlan;
import org.sedgeroad.testing.deployment.EndpointProcess;

/**
 * Guards against answers that clients of the OpenAI API can't read; tested with the Java client.
 */
class OpenAiClientTest {
  private static Deployment deployment;
  private static OpenAIClient client;

  @BeforeAll
  static void start() {
    deployment = Deployment.start(DeploymentPlan.demo());
    client = clientWithKey(deployment.plan().key());
  }

  @AfterAll
  static void stop() {
    client.close();
    deployment.close();
  }

  private static OpenAIClient clientWithKey(String key) {
    return OpenAIOkHttpClient.builder()
        .baseUrl(deployment.entries().get(0).callerAddress() + "/v1")
        .apiKey(key)
        .maxRetries(0)
        .build();
  }

  private static ChatCompletionCreateParams chat(String model, String text, long tokens) {
    return ChatCompletionCreateParams.builder()
        .model(model)
        .addUserMessage(text)
        .maxCompletionTokens(tokens)
        .temperature(0)
        .build();
  }

  @Nested
  class Chat {
    @Test
    void answersAWholeChat() {
      ChatCompletion answer =
          client
              .chat()
              .completions()
              .create(chat(deployment.plan().model(), "Is the flag at half-mast?", 6));
      assertTrue(answer.choices().get(0).message().content().orElse("").length() > 0);
    }

    @Test
    void streamsTheSameTextThatAWholeChatHas() {
      ChatCompletionCreateParams request =
          chat(deployment.plan().model(), "Which totem stands at the school?", 6);
      ChatCompletion whole = client.chat().completions().create(request);
      StringBuilder text = new StringBuilder();
      try (StreamResponse<ChatCompletionChunk> stream =
          client.chat().completions().createStreaming(request)) {
        stream.stream()
            .flatMap(chunk -> chunk.choices().stream())
            .forEach(choice -> choice.delta().content().ifPresent(text::append));
      }
      assertEquals(whole.choices().get(0).message().content().orElse(""), text.toString());
    }

    @Test
    void cancelsTheRunWhenTheCallerGoesAway() {
      try (StreamResponse<ChatCompletionChunk> stream =
          client
              .chat()
              .completions()
              .createStreaming(chat(deployment.plan().model(), "a long story", 5_000))) {
        Iterator<ChatCompletionChunk> chunks = stream.stream().iterator();
        chunks.next();
      }
      await().atMost(Duration.ofSeconds(10)).until(OpenAiClientTest::hasCancelledRun);
    }
  }

  private static boolean hasCancelledRun() {
    for (EndpointProcess engine : deployment.engines()) {
      if (deployment.read(engine.address().resolve("/control/history")).contains("cancel")) {
        return true;
      }
    }
    return false;
  }

  @Nested
  class Errors {
    @Test
    void showsAnUnknownModelAsNotFound() {
      NotFoundException failure =
          assertThrows(
              NotFoundException.class,
              () -> client.chat().completions().create(chat("no-such-model", "x", 1)));
      assertTrue(failure.getMessage().contains("no-such-model"), failure.getMessage());
      assertEquals("not-run", failure.headers().values("X-Work").get(0));
    }

    @Test
    void showsAnUnknownKeyAsUnauthorized() {
      try (OpenAIClientHandle other = new OpenAIClientHandle(clientWithKey("no-such-key"))) {
        assertThrows(
            UnauthorizedException.class,
            () ->
                other
                    .client()
                    .chat()
                    .completions()
                    .create(chat(deployment.plan().model(), "x", 1)));
      }
    }
  }

  /** Makes a client usable in a try-with-resources statement. */
  private record OpenAIClientHandle(OpenAIClient client) implements AutoCloseable {
    @Override
    public void close() {
      client.close();
    }
  }

  @Nested
  class Batches {
    @Test
    void runsAnUploadedBatchAndReadsItsResults() throws IOException {
      Path file = Files.createTempFile("items", ".jsonl");
      StringBuilder lines = new StringBuilder();
      for (int item = 0; item < 5; item++) {
        lines.append(
            "{\"custom_id\":\"notice-%d\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\","
                    .formatted(item)
                + "\"body\":{\"model\":\"%s\",\"max_tokens\":4,"
                    .formatted(deployment.plan().model())
                + "\"messages\":[{\"role\":\"user\",\"content\":\"notice %d\"}]}}\n"
                    .formatted(item));
      }
      Files.writeString(file, lines);
      FileObject uploaded =
          client
              .files()
              .create(FileCreateParams.builder().file(file).purpose(FilePurpose.BATCH).build());
      Batch batch =
          client
              .batches()
              .create(
                  BatchCreateParams.builder()
                      .inputFileId(uploaded.id())
                      .endpoint(BatchCreateParams.Endpoint.V1_CHAT_COMPLETIONS)
                      .completionWindow(BatchCreateParams.CompletionWindow._24H)
                      .build());
      AtomicReference<Batch> last = new AtomicReference<>(batch);
      await()
          .atMost(Duration.ofSeconds(30))
          .until(
              () -> {
                last.set(client.batches().retrieve(batch.id()));
                return last.get().status().equals(Batch.Status.COMPLETED);
              });
      assertEquals(5, last.get().requestCounts().orElseThrow().completed());
      String output = last.get().outputFileId().orElseThrow();
      try (HttpResponse content = client.files().content(output)) {
        String text = new String(content.body().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(5, text.lines().filter(line -> line.contains("notice-")).count());
      }
    }
  }
}
