package org.sedgeroad.testing.deployment;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A child process that runs a Java main class and logs to a file. Closing it kills the process. */
public final class ChildProcess implements AutoCloseable {
  private static final long TIMEOUT_SECONDS = 30;

  private final String name;
  private final Process process;
  private final Path log;
  private final CompletableFuture<String> firstLine = new CompletableFuture<>();

  private ChildProcess(String name, Process process, Path log) {
    this.name = name;
    this.process = process;
    this.log = log;
    Thread reader = new Thread(this::readOutput, "output-" + name);
    reader.setDaemon(true);
    reader.start();
  }

  /**
   * Starts a main class with the class path of this process. Its output is appended to the file
   * {@code NAME.log} in the folder.
   *
   * @throws UncheckedIOException if the process can't be started
   */
  public static ChildProcess start(
      String name, Path folder, int heapMegabytes, Class<?> main, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-Xmx" + heapMegabytes + "m");
    command.add("-Xss512k");
    command.add("-XX:+UseSerialGC");
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(main.getName());
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command);
    Path log = folder.resolve(name + ".log");
    builder.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
    try {
      return new ChildProcess(name, builder.start(), log);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns the name, which also names the log file. */
  public String name() {
    return name;
  }

  /** Returns the process id. */
  public long id() {
    return process.pid();
  }

  /** Returns whether the process is running. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Waits for the first line of output, {@code NAME=ADDRESS}, and returns the address.
   *
   * @throws IllegalStateException if the process prints none within 30 s
   */
  public URI awaitAddress() {
    try {
      String line = firstLine.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      return URI.create(line.substring(line.indexOf('=') + 1));
    } catch (Exception failure) {
      throw new IllegalStateException(name + " printed no address; it did not start", failure);
    }
  }

  /** Kills the process, as {@code kill -9} does, and waits for its end. */
  public void kill() {
    process.destroyForcibly();
    awaitEnd();
  }

  /** Asks the process to stop, as {@code kill -TERM} does, without waiting for its end. */
  public void requestStop() {
    process.destroy();
  }

  /** Suspends the process until {@link #resume}, as {@code kill -STOP} does. */
  public void pause() {
    signal("-STOP");
  }

  /** Continues a suspended process. */
  public void resume() {
    signal("-CONT");
  }

  /** Waits at most 30 s for the end of the process; returns whether it has ended. */
  public boolean awaitEnd() {
    try {
      return process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public void close() {
    if (process.isAlive()) {
      process.destroyForcibly();
      awaitEnd();
    }
  }

  private void signal(String option) {
    try {
      new ProcessBuilder("kill", option, Long.toString(process.pid())).start().waitFor();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void readOutput() {
    try (BufferedReader reader =
            new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        Writer writer =
            Files.newBufferedWriter(log, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
      String line = reader.readLine();
      while (line != null) {
        firstLine.complete(line);
        writer.write(line + "\n");
        writer.flush();
        line = reader.readLine();
      }
    } catch (IOException ended) {
      // The process has ended; awaitAddress reports a missing first line.
    }
    firstLine.completeExceptionally(new IOException(name + " ended without output"));
  }
}
