package org.sedgeroad.daemon;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** The program {@code sedgeroad}: runs one subcommand. */
public final class Main {
  private static final Map<String, Supplier<Subcommand>> SUBCOMMANDS =
      new TreeMap<>(
          Map.of(
              "entry", EntrySubcommand::new,
              "check", CheckSubcommand::new,
              "check-configuration", CheckConfigurationSubcommand::new,
              "burn", BurnSubcommand::new,
              "command", CommandSubcommand::new,
              "explain", ExplainSubcommand::new));

  private Main() {}

  /** Runs the subcommand named by the first argument and exits with its status. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  static int run(String[] arguments) {
    Supplier<Subcommand> subcommand = arguments.length == 0 ? null : SUBCOMMANDS.get(arguments[0]);
    if (subcommand == null) {
      System.err.println("usage: sedgeroad SUBCOMMAND [options]");
      System.err.println("subcommands: " + String.join(", ", SUBCOMMANDS.keySet()));
      System.err.println("'sedgeroad SUBCOMMAND --help' lists the options of one");
      return arguments.length > 0 && arguments[0].equals("--help")
          ? ExitStatus.DONE
          : ExitStatus.INVALID;
    }
    return subcommand
        .get()
        .parseAndRun(arguments[0], Arrays.copyOfRange(arguments, 1, arguments.length));
  }
}
