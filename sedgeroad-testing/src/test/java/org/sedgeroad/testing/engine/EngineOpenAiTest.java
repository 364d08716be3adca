package org.sedgeroad.testing.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import com.openai.models.completions.Completion;
import com.openai.models.completions.CompletionCreateParams;
import org.junit.jupiter.api.Test;

/** Guards against answers that the published client library of the OpenAI API can't parse. */
class EngineOpenAiTest {

  @Test
  void clientReadsAnswersAndStreams() {
    try (EngineStandIn engine = EngineStandIn.start()) {
      OpenAIClient client =
          OpenAIOkHttpClient.builder().baseUrl(engine.address() + "/v1").apiKey("key").build();
      Completion completion =
          client
              .completions()
              .create(CompletionCreateParams.builder().model("m").prompt("p").maxTokens(5).build());
      assertEquals(AnswerText.of("p", 5), completion.choices().get(0).text());
      assertEquals(5, completion.usage().orElseThrow().completionTokens());
      StringBuilder text = new StringBuilder();
      try (StreamResponse<ChatCompletionChunk> chunks =
          client
              .chat()
              .completions()
              .createStreaming(
                  ChatCompletionCreateParams.builder()
                      .model("m")
                      .addUserMessage("hello")
                      .maxCompletionTokens(7)
                      .build())) {
        chunks.stream()
            .forEach(chunk -> chunk.choices().get(0).delta().content().ifPresent(text::append));
      }
      assertEquals(AnswerText.of("user: hello\n", 7), text.toString());
      client.close();
    }
  }
}
