package org.sedgeroad.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import org.sedgeroad.ServiceClass;
import org.sedgeroad.http.HttpCall;
import org.sedgeroad.http.HttpExchange;
import org.sedgeroad.http.PooledHttpClient;

/** Calls engines at their endpoints over HTTP; answers may be streams of server-sent events. */
public final class HttpEngineClient implements EngineClient {
  /** Header with {@link EngineCall#requestId}, which identifies a run at the endpoint. */
  public static final String REQUEST_ID = "X-Request-Id";

  private final PooledHttpClient httpClient;

  private HttpEngineClient(PooledHttpClient httpClient) {
    this.httpClient = httpClient;
  }

  /** Returns a client that sends calls through the given HTTP client, which it does not close. */
  public static HttpEngineClient of(PooledHttpClient httpClient) {
    return new HttpEngineClient(httpClient);
  }

  @Override
  public EngineCallHandle start(EngineCall call, EngineListener listener) {
    Map<String, String> headers = new LinkedHashMap<>(call.headers());
    headers.put(REQUEST_ID, call.requestId());
    headers.put(ServiceClass.HEADER, call.serviceClass().toText());
    HttpCall request =
        new HttpCall(
            call.method(),
            call.address(),
            headers,
            call.body(),
            !call.idempotent(),
            call.deadlineNanos());
    HttpExchange exchange = httpClient.start(request, new EngineAnswerReader(listener));
    return exchange::close;
  }
}
