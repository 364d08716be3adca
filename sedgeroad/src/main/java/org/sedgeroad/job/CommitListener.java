package org.sedgeroad.job;

import java.util.List;

/** Receives the results of items whose commit took effect. Must not block. */
@FunctionalInterface
public interface CommitListener {

  /** Takes note of results that are final now. */
  void committed(Job job, List<ItemResult> results);
}
