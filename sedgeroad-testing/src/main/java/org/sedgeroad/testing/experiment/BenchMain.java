package org.sedgeroad.testing.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.sedgeroad.testing.http.ProcessMain;

/** Runs one experiment and prints its figures; the last line of output is one JSON object. */
public final class BenchMain {
  /** Above this fraction of busy processors, latencies include waits for a processor. */
  private static final double RELIABLE_BUSY_FRACTION = 0.8;

  private static final Map<String, Supplier<Experiment>> EXPERIMENTS =
      new TreeMap<>(
          Map.of(
              "batch-interference", BatchInterferenceExperiment::new,
              "control", ControlExperiment::new,
              "drain", DrainExperiment::new,
              "exchange", ExchangeExperiment::new,
              "head-of-line", HeadOfLineExperiment::new,
              "limits", LimitsExperiment::new,
              "link", LinkExperiment::new,
              "overhead", OverheadExperiment::new,
              "stragglers", StragglersExperiment::new,
              "takeover", TakeoverExperiment::new));

  @Argument(metaVar = "EXPERIMENT", required = true, usage = "name of the experiment")
  private String experiment = "";

  @Option(name = "--seed", usage = "seed of arrivals, lengths and failures")
  private long seed = 1;

  @Option(name = "--seconds", usage = "length of the soak")
  private int seconds = 60;

  @Option(name = "--html", usage = "file for a page with plots")
  private Path html;

  private BenchMain() {}

  /**
   * Runs the experiment. The exit status is 0 after a run, whether or not the targets are met, and
   * 2 if the name of the experiment is unknown.
   */
  public static void main(String[] arguments) throws IOException {
    BenchMain main = new BenchMain();
    ProcessMain.parse(main, arguments);
    System.exit(main.run());
  }

  private int run() throws IOException {
    Supplier<Experiment> chosen =
        experiment.equals("soak") ? () -> new SoakExperiment(seconds) : EXPERIMENTS.get(experiment);
    if (chosen == null) {
      System.err.println(
          "unknown experiment; known: " + String.join(", ", EXPERIMENTS.keySet()) + ", soak");
      return 2;
    }
    ProcessorTime.MachineReading before = ProcessorTime.machine();
    ExperimentResult result;
    try (Bench bench = new Bench(seed)) {
      result = chosen.get().run(bench);
    }
    result = withProcessorUse(result, before);
    print(result);
    if (html != null) {
      Files.writeString(html, HtmlPage.of(result));
    }
    System.out.println(result.toJsonLine());
    return 0;
  }

  /**
   * Adds the fractions of the processors that were busy in total and with this run. A note says
   * whether the processors were too busy for reliable latencies.
   */
  private static ExperimentResult withProcessorUse(
      ExperimentResult result, ProcessorTime.MachineReading before) {
    ProcessorTime.MachineReading after = ProcessorTime.machine();
    double busy = before.busyFraction(after);
    double own = before.fractionOf(after, ProcessorTime.ownSeconds());
    String note =
        String.format(
            "machine: %.0f%% of the processors busy on average, %.0f%% by this run",
            busy * 100, own * 100);
    return result
        .withFigure(Figure.reported("machine-busy-part", busy))
        .withFigure(Figure.reported("machine-busy-part-own", own))
        .withNote(busy > RELIABLE_BUSY_FRACTION ? note + "; the figures are not reliable" : note);
  }

  private static void print(ExperimentResult result) {
    for (Figure figure : result.figures()) {
      String target =
          figure.target() == null
              ? ""
              : "  target " + figure.target() + (figure.met() ? "  met" : "  NOT MET");
      System.out.printf("%-40s %12s%s%n", figure.name(), figure.formattedValue(), target);
    }
    result
        .baselines()
        .forEach(
            (name, values) ->
                values.forEach(
                    (figure, value) ->
                        System.out.printf(
                            "%-40s %12s  baseline %s%n",
                            figure, Figure.reported(figure, value).formattedValue(), name)));
    result.notes().forEach(System.out::println);
  }
}
