package org.sedgeroad.check;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiFunction;
import org.sedgeroad.access.KeyDigest;
import org.sedgeroad.check.ConfigurationDocument.ClientLimits;
import org.sedgeroad.check.ConfigurationDocument.KeyEntry;
import org.sedgeroad.check.ConfigurationDocument.RouteEntry;
import org.sedgeroad.check.ConfigurationDocument.ServiceEntry;
import org.sedgeroad.check.ConfigurationDocument.SplitPart;
import org.sedgeroad.check.ConfigurationDocument.WorkspaceEntry;
import org.sedgeroad.gateway.RouteKind;

/**
 * Reads configuration documents and reports entries with a wrong form and values out of range. Not
 * thread-safe; one instance reads one document.
 */
public final class ConfigurationReader {
  /** Field of a stored object that contains the configuration. */
  private static final String CONTENT = "spec";

  /** A longer time is taken for a mistake of unit: no request lasts for more than a day. */
  private static final long MAXIMUM_MILLIS = 86_400_000;

  /** The weights of a route are added as {@code int} when a request is placed. */
  private static final long MAXIMUM_WEIGHT = 1_000_000;

  /** The largest number up to which a {@code double}, by which limits are decoded, is exact. */
  private static final long MAXIMUM_AMOUNT = 1L << 53;

  /** Bounds the memory for the findings of a file that is no configuration. */
  private static final int MAXIMUM_FINDINGS = 10_000;

  private static final long MAXIMUM_SLOTS = 100_000;
  private static final double MAXIMUM_RATE = 1e9;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private final ConfigurationFormat format;
  private final JsonNode configuration;
  private final String root;
  private final Set<String> keyDigests = new HashSet<>();
  private final List<Finding> findings = new ArrayList<>();

  private ConfigurationReader(ConfigurationFormat format, JsonNode configuration, String root) {
    this.format = format;
    this.configuration = configuration;
    this.root = root;
  }

  /**
   * A document and what was found while it was read.
   *
   * @param document document, not null
   * @param findings findings in the order of the document, not null
   */
  public record Result(ConfigurationDocument document, List<Finding> findings) {
    /** Copies the list. */
    public Result {
      findings = List.copyOf(findings);
    }
  }

  /**
   * Reads a document: the configuration itself, or a stored object that contains it.
   *
   * @param content bytes of the file, not null
   * @throws UnreadableConfigurationException if the content is not one JSON object
   */
  public static Result read(byte[] content, ConfigurationFormat format)
      throws UnreadableConfigurationException {
    JsonNode node = parse(content);
    if (!node.isObject()) {
      throw new UnreadableConfigurationException("", "is not a JSON object");
    }
    boolean isStoredObject =
        node.path(CONTENT).isObject() && !node.has(format.fieldName(Field.ROUTES));
    return isStoredObject
        ? new ConfigurationReader(format, node.path(CONTENT), CONTENT + ".").read()
        : new ConfigurationReader(format, node, "").read();
  }

  /** Parses a file. The parser's own messages are not passed on, because they quote the file. */
  private static JsonNode parse(byte[] content) throws UnreadableConfigurationException {
    try {
      return MAPPER.readTree(content);
    } catch (JsonProcessingException invalid) {
      JsonLocation location = invalid.getLocation();
      String place =
          location == null
              ? ""
              : "line " + location.getLineNr() + ", column " + location.getColumnNr();
      boolean isDuplicate = String.valueOf(invalid.getOriginalMessage()).startsWith("Duplicate");
      throw new UnreadableConfigurationException(
          place, isDuplicate ? "a field is given twice in one object" : "is not valid JSON");
    } catch (IOException invalid) {
      throw new UnreadableConfigurationException("", "is not valid JSON in UTF-8");
    }
  }

  private Result read() {
    if (!format.isServed(configuration)) {
      findings.add(
          Finding.error(
              root.isEmpty() ? "" : CONTENT,
              "instances can't read this configuration and keep the one in force"));
    }
    collectKeyDigests();
    FieldReader fields = fields(configuration, root);
    if (fields.value(Field.ROUTES).isMissingNode()) {
      fields.error(Field.ROUTES, "is missing");
    }
    ConfigurationDocument document =
        new ConfigurationDocument(
            format,
            root,
            fields.requiredNumber(Field.VERSION, 1, Long.MAX_VALUE),
            entries(fields, Field.ROUTES, this::route),
            entries(fields, Field.SERVICES, this::service),
            !fields.value(Field.WORKSPACES).isMissingNode(),
            entries(fields, Field.WORKSPACES, this::workspace),
            limits(fields));
    if (hasTooManyFindings()) {
      findings.add(Finding.error("", "has too many faults; not all entries were read"));
    }
    return new Result(document, findings);
  }

  private FieldReader fields(JsonNode object, String prefix) {
    return new FieldReader(format, object, prefix, keyDigests, findings);
  }

  private void collectKeyDigests() {
    for (JsonNode workspace : FieldReader.value(format, configuration, Field.WORKSPACES)) {
      for (JsonNode key : FieldReader.value(format, workspace, Field.KEYS)) {
        if (key.isTextual() && !key.asText().isEmpty()) {
          keyDigests.add(KeyDigest.of(key.asText()));
        }
      }
    }
  }

  /** Decodes the entries of a list; those that are not objects or have no name are left out. */
  private <T> List<T> entries(
      FieldReader fields, Field list, BiFunction<FieldReader, String, Optional<T>> decoder) {
    JsonNode node = fields.value(list);
    if (!node.isMissingNode() && !node.isArray()) {
      fields.error(list, "is not a list");
      return List.of();
    }
    List<T> entries = new ArrayList<>();
    for (int index = 0; index < node.size() && !hasTooManyFindings(); index++) {
      String place = fields.place(list) + "[" + index + "]";
      if (node.get(index).isObject()) {
        decoder.apply(fields(node.get(index), place + "."), place).ifPresent(entries::add);
      } else {
        findings.add(Finding.error(place, "is not an object"));
      }
    }
    return entries;
  }

  /** Returns whether reading ends here, because there are so many findings. */
  private boolean hasTooManyFindings() {
    return findings.size() >= MAXIMUM_FINDINGS;
  }

  private Optional<RouteEntry> route(FieldReader fields, String place) {
    String name = fields.text(Field.NAME);
    RouteKind kind = kind(fields);
    boolean isBatch = kind == RouteKind.BATCH;
    RouteEntry route =
        new RouteEntry(
            place,
            name,
            fields.text(Field.HOST).toLowerCase(Locale.ROOT),
            pathPrefix(fields),
            kind,
            split(fields),
            fields.number(Field.PRIORITY, 0, Integer.MAX_VALUE).orElse(0),
            fields.number(Field.MAXIMUM_ENDPOINTS, 1, Integer.MAX_VALUE).orElse(1),
            // The timeout does not apply to the items of jobs.
            isBatch
                ? fields.number(Field.TIMEOUT, 0, MAXIMUM_MILLIS).orElse(0)
                : fields.requiredNumber(Field.TIMEOUT, 1, MAXIMUM_MILLIS),
            fields.requiredNumber(Field.OBJECTIVE, 1, MAXIMUM_MILLIS),
            fields.flag(Field.RESUMABLE),
            fields.flag(Field.PUBLIC),
            isBatch ? fields.requiredNumber(Field.RUN_TARGET, 1, MAXIMUM_MILLIS) : 0,
            isBatch ? fields.number(Field.WAITING_TOKENS, 0, MAXIMUM_AMOUNT).orElse(0) : 0);
    return name.isEmpty() ? Optional.empty() : Optional.of(route);
  }

  private static RouteKind kind(FieldReader fields) {
    String name = fields.text(Field.KIND).toUpperCase(Locale.ROOT);
    for (RouteKind kind : RouteKind.values()) {
      if (kind.name().equals(name)) {
        return kind;
      }
    }
    if (!name.isEmpty()) {
      fields.error(Field.KIND, "is unknown; its requests would run at most once");
    }
    return RouteKind.NON_IDEMPOTENT;
  }

  private static String pathPrefix(FieldReader fields) {
    String prefix = fields.text(Field.PATH_PREFIX);
    if (!prefix.isEmpty() && !(prefix.startsWith("/") && prefix.endsWith("/"))) {
      fields.error(Field.PATH_PREFIX, "does not begin and end with a slash");
    }
    return prefix;
  }

  private List<SplitPart> split(FieldReader fields) {
    List<SplitPart> parts = entries(fields, Field.SPLIT, this::splitPart);
    if (fields.value(Field.SPLIT).size() > 0) {
      return parts;
    }
    String service = fields.text(Field.SERVICE);
    return service.isEmpty()
        ? List.of()
        : List.of(new SplitPart(fields.place(Field.SERVICE), service, 1));
  }

  private Optional<SplitPart> splitPart(FieldReader fields, String place) {
    String service = fields.text(Field.SERVICE);
    long weight = fields.requiredNumber(Field.WEIGHT, 0, MAXIMUM_WEIGHT);
    return service.isEmpty()
        ? Optional.empty()
        : Optional.of(new SplitPart(fields.place(Field.SERVICE), service, weight));
  }

  private Optional<ServiceEntry> service(FieldReader fields, String place) {
    String name = fields.text(Field.NAME);
    ServiceEntry service =
        new ServiceEntry(
            place,
            name,
            fields.number(Field.ENGINE_SLOTS, 1, MAXIMUM_SLOTS).orElse(0),
            fields.number(Field.ENGINE_TOKENS, 1, MAXIMUM_AMOUNT).orElse(0));
    return name.isEmpty() ? Optional.empty() : Optional.of(service);
  }

  private Optional<WorkspaceEntry> workspace(FieldReader fields, String place) {
    String name = fields.text(Field.NAME);
    if (!name.isEmpty() && !isHeaderText(name)) {
      fields.error(Field.NAME, "has characters that a header can't hold; endpoints receive it");
    }
    WorkspaceEntry workspace =
        new WorkspaceEntry(
            place,
            name,
            fields.number(Field.PRIORITY, 0, Integer.MAX_VALUE),
            fields.amount(Field.RATE, MAXIMUM_RATE),
            fields.amount(Field.BURST, MAXIMUM_RATE),
            keys(fields));
    return name.isEmpty() ? Optional.empty() : Optional.of(workspace);
  }

  /** Returns the digests of the keys that a client can send. */
  private List<KeyEntry> keys(FieldReader fields) {
    JsonNode list = fields.value(Field.KEYS);
    if (!list.isMissingNode() && !list.isArray()) {
      fields.error(Field.KEYS, "is not a list");
      return List.of();
    }
    List<KeyEntry> keys = new ArrayList<>();
    for (int index = 0; index < list.size() && !hasTooManyFindings(); index++) {
      String place = fields.place(Field.KEYS) + "[" + index + "]";
      JsonNode key = list.get(index);
      if (!key.isTextual() || key.asText().isEmpty()) {
        findings.add(Finding.error(place, "is not a text with characters"));
      } else if (!isHeaderText(key.asText()) || key.asText().contains(" ")) {
        findings.add(
            Finding.warning(place, "can never match: a header can't hold it, or it has spaces"));
      } else {
        keys.add(new KeyEntry(place, KeyDigest.of(key.asText())));
      }
    }
    return keys;
  }

  /** Returns whether a text has only visible ASCII characters and inner spaces. */
  private static boolean isHeaderText(String text) {
    return text.equals(text.strip())
        && text.chars().allMatch(letter -> letter >= ' ' && letter <= '~');
  }

  private ClientLimits limits(FieldReader fields) {
    JsonNode limits = fields.value(Field.LIMITS);
    if (!limits.isMissingNode() && !limits.isObject()) {
      fields.error(Field.LIMITS, "is not an object");
      return new ClientLimits(OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty());
    }
    FieldReader inner = fields(limits, fields.place(Field.LIMITS) + ".");
    return new ClientLimits(
        inner.number(Field.HEADER_BYTES, 1, Integer.MAX_VALUE),
        inner.number(Field.BODY_BYTES, 1, MAXIMUM_AMOUNT),
        inner.number(Field.IDLE_TIMEOUT, 1, MAXIMUM_MILLIS));
  }
}
