package org.sedgeroad.testing.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Result of one run of an experiment.
 *
 * @param experiment name of the experiment
 * @param seed seed of the run
 * @param figures figures of the deployment with the default policy
 * @param baselines values of figures by baseline and name of the figure
 * @param notes remarks for the reader, for example that the machine was busy
 * @param charts charts for the HTML page
 */
public record ExperimentResult(
    String experiment,
    long seed,
    List<Figure> figures,
    Map<String, Map<String, Double>> baselines,
    List<String> notes,
    List<Chart> charts) {

  /** Makes immutable copies of the lists. */
  public ExperimentResult {
    figures = List.copyOf(figures);
    notes = List.copyOf(notes);
    charts = List.copyOf(charts);
  }

  /** Returns the result as one line of JSON, in the format of section 13 of the design page. */
  public String toJsonLine() {
    ObjectNode root = new ObjectMapper().createObjectNode();
    root.put("experiment", experiment).put("seed", seed);
    ArrayNode list = root.putArray("figures");
    figures.forEach(figure -> list.add(figure.toJson()));
    ObjectNode others = root.putObject("baselines");
    baselines.forEach(
        (name, values) -> {
          ObjectNode baseline = others.putObject(name);
          values.forEach((figure, value) -> baseline.put(figure, Figure.rounded(value)));
        });
    return root.toString();
  }

  /** Returns a copy with one more figure. */
  public ExperimentResult withFigure(Figure figure) {
    List<Figure> more = new ArrayList<>(figures);
    more.add(figure);
    return new ExperimentResult(experiment, seed, more, baselines, notes, charts);
  }

  /** Returns a copy with one more note. */
  public ExperimentResult withNote(String note) {
    List<String> more = new ArrayList<>(notes);
    more.add(note);
    return new ExperimentResult(experiment, seed, figures, baselines, more, charts);
  }
}
