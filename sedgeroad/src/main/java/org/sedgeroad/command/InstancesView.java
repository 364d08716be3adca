package org.sedgeroad.command;

import java.util.List;

/** The entry instances that are known. */
@FunctionalInterface
public interface InstancesView {

  /** Returns the instances in name order. */
  List<InstanceStatus> instances();
}
