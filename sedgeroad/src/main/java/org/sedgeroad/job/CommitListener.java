package org.sedgeroad.job;

import java.util.List;

/** Receives committed results of batch items. Must not block. */
@FunctionalInterface
public interface CommitListener {

  /** Called after results have been committed, which makes them final. */
  void committed(Job job, List<ItemResult> results);
}
