package org.sedgeroad.command;

import java.util.List;

/** Provides the known entry instances. */
@FunctionalInterface
public interface KnownInstances {

  /** Returns the known instances in name order. */
  List<InstanceStatus> instances();
}
