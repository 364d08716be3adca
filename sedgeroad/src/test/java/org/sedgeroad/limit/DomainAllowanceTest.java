package org.sedgeroad.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestReporter;

class DomainAllowanceTest {
  private static final LimitKind KIND = LimitKind.REQUESTS_PER_SECOND;
  private static final int MEMBERS = 2_000;

  private static List<String> domains(int count) {
    List<String> domains = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      domains.add("domain-" + (char) ('a' + i));
    }
    return domains;
  }

  private static LimitValues values(long requests, int isolatedPpm) {
    return LimitValues.unlimited().with(KIND, requests).withIsolatedPpm(isolatedPpm);
  }

  private static MemberShares randomShares(List<String> domains, Random random) {
    MemberShares shares = MemberShares.equalSplit(domains);
    for (int i = 0; i < 20; i++) {
      String giver = domains.get(random.nextInt(domains.size()));
      int ppm = random.nextInt(shares.fraction(giver) + 1);
      shares = shares.withFreed(giver, ppm);
      shares = shares.withTaken(domains.get(random.nextInt(domains.size())), giver, ppm);
    }
    return shares;
  }

  @Nested
  class Sum {

    /** Guards against a sum above the limit through rounding or records of different age. */
    @Test
    void staysWithinTheLimitWithOutdatedRecords() {
      Random random = new Random(11);
      for (int round = 0; round < 20_000; round++) {
        List<String> domains = domains(2 + random.nextInt(12));
        LimitValues before = values(1 + random.nextInt(1_000), random.nextInt(1_000_001));
        LimitValues after = values(1 + random.nextInt(1_000), random.nextInt(1_000_001));
        MemberLimits limits = new MemberLimits(20, after, List.of(new OlderLimits(10, before)));
        MemberShares shares = randomShares(domains, random);
        Map<String, DomainRecord> actual = new TreeMap<>();
        domains.forEach(
            d ->
                actual.put(d, new DomainRecord(random.nextInt(4) == 0 ? 10 : 20, 0, 0, 20, false)));
        long unappliedUse = 0;
        long sum = 0;
        for (String domain : domains) {
          DomainAllowance allowance = DomainAllowance.of(domain, domains);
          if (actual.get(domain).limitsVersion() < 20) {
            MemberLimits old = new MemberLimits(10, before, List.of());
            long use = rate(allowance, old, shares, Map.of());
            unappliedUse += use;
            continue;
          }
          // The records that a failure domain has read may be outdated.
          Map<String, DomainRecord> lastRead = new TreeMap<>(actual);
          lastRead.replaceAll(
              (name, record) ->
                  random.nextInt(4) == 0 ? new DomainRecord(10, 0, 0, 20, false) : record);
          sum += rate(allowance, limits, shares, lastRead);
        }
        long limit = after.value(KIND).getAsLong() * LimitValues.MILLION;
        assertTrue(sum + unappliedUse <= Math.max(limit, unappliedUse), "round " + round);
      }
    }

    private long rate(
        DomainAllowance allowance,
        MemberLimits limits,
        MemberShares shares,
        Map<String, DomainRecord> records) {
      return allowance
          .microRate(limits, KIND, shares, GrantScope.SHARE_AND_ISOLATED, records)
          .getAsLong();
    }
  }

  @Nested
  class Footprint {

    /**
     * Guards against limits that outgrow a heap of 128 MB, and against an allowance that is too
     * slow to be computed for each sub-grant.
     */
    @Test
    void fitsTheSizesExpectedInTwoYears(TestReporter reporter) {
      List<String> domains = domains(13);
      Random random = new Random(3);
      long before = usedBytes();
      Map<String, MemberLimits> limits = new TreeMap<>();
      Map<String, MemberShares> shares = new TreeMap<>();
      long specBytes = 0;
      for (int i = 0; i < MEMBERS; i++) {
        LimitValues values = values(100 + i, 600_000).with(LimitKind.TOKENS_PER_SECOND, 50_000);
        limits.put(
            "member-" + i, new MemberLimits(20, values, List.of(new OlderLimits(10, values))));
        shares.put("member-" + i, randomShares(domains, random));
        specBytes +=
            MemberLimits.spec(values, limits.get("member-" + i).older()).toString().length();
      }
      long heap = usedBytes() - before;
      ShareLedger ledger = new ShareLedger(1, shares);
      long ledgerBytes = ledger.toSpec().toString().length();
      Map<String, DomainRecord> records = new TreeMap<>();
      domains.forEach(d -> records.put(d, new DomainRecord(20, 20, 20, Long.MAX_VALUE, false)));
      long allCurrent = nanosPerCall(limits, shares, records, domains);
      records.put(domains.get(4), new DomainRecord(10, 10, 20, Long.MAX_VALUE, false));
      long reserving = nanosPerCall(limits, shares, records, domains);
      reporter.publishEntry(
          Map.of(
              "heap-bytes", "" + heap,
              "limits-json-bytes", "" + specBytes,
              "ledger-json-bytes", "" + ledgerBytes,
              "nanos-per-allowance", "" + allCurrent,
              "nanos-per-allowance-with-reserve", "" + reserving));
      assertTrue(heap < 32L << 20, "heap " + heap);
      assertTrue(ledgerBytes / ShareLedger.SHARDS < 1 << 20, "ledgers " + ledgerBytes);
      assertTrue(reserving < 200_000, "nanoseconds " + reserving);
    }

    private long nanosPerCall(
        Map<String, MemberLimits> limits,
        Map<String, MemberShares> shares,
        Map<String, DomainRecord> records,
        List<String> domains) {
      DomainAllowance allowance = DomainAllowance.of(domains.get(0), domains);
      long best = Long.MAX_VALUE;
      long sum = 0;
      for (int round = 0; round < 30; round++) {
        long start = System.nanoTime();
        for (Map.Entry<String, MemberLimits> entry : limits.entrySet()) {
          sum +=
              allowance
                  .microRate(
                      entry.getValue(),
                      KIND,
                      shares.get(entry.getKey()),
                      GrantScope.SHARE_AND_ISOLATED,
                      records)
                  .getAsLong();
        }
        best = Math.min(best, (System.nanoTime() - start) / MEMBERS);
      }
      assertTrue(sum > 0);
      return best;
    }

    private long usedBytes() {
      System.gc();
      return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
  }

  @Nested
  class Ledger {

    /** Guards against applying a ledger whose fractions sum to more than the whole. */
    @Test
    void excessiveFractionsAreNotApplied() {
      var spec = JsonNodeFactory.instance.objectNode();
      spec.putObject("fractions").put("a", 700_000).put("b", 400_000);
      assertEquals(0, MemberShares.fromSpec(spec).fraction("a"));
    }
  }
}
