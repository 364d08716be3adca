package org.sedgeroad.limit;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.sedgeroad.store.StoredObject;

/** Records of all failure domains, from the last read of their lease objects. Thread-safe. */
public final class DomainRecords {
  private volatile Map<String, DomainRecord> records = Map.of();

  /**
   * Replaces the records by those of a new read.
   *
   * @param leaseObjects the lease objects, one per failure domain
   * @param isExpired whether the lease of a holder must have expired
   * @return the new records
   */
  public Map<String, DomainRecord> update(
      List<StoredObject> leaseObjects, Predicate<String> isExpired) {
    records = read(leaseObjects, isExpired);
    return records;
  }

  /** Returns the records in some lease objects without storing them. */
  static Map<String, DomainRecord> read(
      List<StoredObject> leaseObjects, Predicate<String> isExpired) {
    Map<String, DomainRecord> read = new TreeMap<>();
    for (StoredObject object : leaseObjects) {
      read.put(object.name(), DomainRecord.fromSpec(object.spec(), isExpired));
    }
    return Map.copyOf(read);
  }

  /** Returns the record of each failure domain that has a lease object. */
  public Map<String, DomainRecord> all() {
    return records;
  }
}
