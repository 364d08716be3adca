package org.sedgeroad.specification;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.DynamicTest.dynamicTest;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.ast.Sig;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import kodkod.engine.satlab.SATFactory;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against a protocol that violates its invariants, and against properties that hold only
 * because the model never reaches the relevant states.
 *
 * <p>Each Alloy model has commands of three kinds: a {@code run} that must find a trace, a positive
 * check named {@code …Holds} that must find no counterexample, and a negative check named {@code
 * without<Guard>Fails_…} that must find one. A {@code Guard} is a rule of the protocol that a
 * negative check switches off. {@code docs/SPECIFICATION.md} lists them.
 */
class SpecificationTest {

  /** Tests that apply to every Alloy model, run on one parsed model. */
  abstract static class ModelTest {
    private final Module model;

    ModelTest(String name) throws URISyntaxException {
      Path file = Path.of(SpecificationTest.class.getResource("/specification/" + name).toURI());
      model = CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, file.toString());
    }

    @TestFactory
    Stream<DynamicTest> everyCommandHasItsExpectedOutcome() {
      return model.getAllCommands().stream()
          .map(command -> dynamicTest(command.label, () -> execute(command)));
    }

    /** Guards against a misnamed command whose expected outcome contradicts its name. */
    @Test
    void namesAgreeWithExpectedOutcomes() {
      for (Command command : model.getAllCommands()) {
        boolean negative = command.label.startsWith("without");
        assertEquals(command.check && !negative ? 0 : 1, command.expects, command.label);
        assertEquals(command.check && !negative, command.label.endsWith("Holds"), command.label);
      }
    }

    /** Guards against a {@code Guard} rule without a negative check, which may have no effect. */
    @Test
    void everyGuardHasANegativeCheck() {
      Set<String> guards =
          model.getAllReachableSigs().stream()
              .filter(sig -> sig instanceof Sig.PrimSig primary && isGuard(primary))
              .map(sig -> simpleName(sig.label))
              .collect(Collectors.toSet());
      Set<String> switchedOff =
          model.getAllCommands().stream()
              .filter(command -> command.label.startsWith("without"))
              .map(command -> command.label.replaceFirst("^without(.*)Fails_.*$", "$1"))
              .collect(Collectors.toSet());
      assertFalse(guards.isEmpty());
      assertEquals(guards, switchedOff);
    }

    /** Guards against a negative check of a property that no positive check covers. */
    @Test
    void everyNegativeCheckHasAPositiveOne() {
      List<String> labels = model.getAllCommands().stream().map(command -> command.label).toList();
      labels.stream()
          .filter(label -> label.startsWith("without"))
          .map(label -> label.substring(label.indexOf('_') + 1) + "Holds")
          .forEach(positive -> assertTrue(labels.contains(positive), positive));
    }

    private void execute(Command command) {
      A4Options options = new A4Options();
      options.solver = SATFactory.DEFAULT; // SAT4J: pure Java, needs no native library
      A4Solution solution =
          TranslateAlloyToKodkod.execute_command(
              A4Reporter.NOP, model.getAllReachableSigs(), command, options);
      assertEquals(
          command.expects == 1,
          solution.satisfiable(),
          () ->
              command + (solution.satisfiable() ? " has the trace\n" + solution : " has no trace"));
    }

    private static boolean isGuard(Sig.PrimSig sig) {
      return sig.parent != null && simpleName(sig.parent.label).equals("Guard");
    }

    private static String simpleName(String label) {
      return label.substring(label.lastIndexOf('/') + 1);
    }
  }

  @Nested
  class Segments extends ModelTest {
    Segments() throws URISyntaxException {
      super("segment.als");
    }
  }

  @Nested
  class ResultLog extends ModelTest {
    ResultLog() throws URISyntaxException {
      super("resultlog.als");
    }
  }

  @Nested
  class Limits extends ModelTest {
    Limits() throws URISyntaxException {
      super("limit.als");
    }
  }
}
