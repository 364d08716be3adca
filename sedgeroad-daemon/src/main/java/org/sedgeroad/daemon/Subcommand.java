package org.sedgeroad.daemon;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Base class of the subcommands: parses options with args4j and handles {@code --help}. */
abstract class Subcommand {
  @Option(name = "--help", aliases = "-h", help = true, usage = "print this text")
  private boolean help;

  /** Parses the arguments, runs the subcommand and returns the exit status. */
  final int parseAndRun(String name, String[] arguments) {
    CmdLineParser parser = new CmdLineParser(this);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException invalid) {
      System.err.println("sedgeroad " + name + ": " + invalid.getMessage());
      System.err.println("'sedgeroad " + name + " --help' lists the options");
      return ExitStatus.INVALID;
    }
    if (help) {
      System.out.println("usage: sedgeroad " + name + " [options]");
      parser.printUsage(System.out);
      return ExitStatus.DONE;
    }
    return run();
  }

  /** Runs the subcommand with the parsed options and returns the exit status. */
  abstract int run();
}
