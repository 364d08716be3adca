package org.sedgeroad.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against fields that are read in another order than they are written. */
class MessageCodecsTest {
  static List<PeerMessage> messages() {
    return List.of(
        new Heartbeat(
            "a",
            List.of(
                new MemberInfo("a", "127.0.0.1:1", "d", 1_796_000_000_000L, 70_000, false),
                new MemberInfo("b", "[0:0:0:0:0:0:0:1]:65535", "d", 2, 3, true),
                new MemberInfo("c", "127.0.0.1:3", "e", 2, 3, false)),
            Map.of(-5, 65_535, 7, 0),
            Map.of("limits", 9L),
            Map.of("w", 3),
            true),
        new EndpointNews("w", "http://127.0.0.1:1", EndpointNews.Cause.FAILED),
        new LivePressure("a", "w", 5_000_000_000L, 2),
        new ConfigurationDelta(
            "limits", -1, 12, List.of(new ConfigurationItem("m", 12, "{\"a\":\"ñ\"}"))),
        new ConfigurationPull("limits", -1),
        new GrantRequest("a", "m", "l", 10),
        new Grant("m", "l", 1, 2, 3, 4),
        new LeaseRenewal("a#1", 3),
        new Leaving("a"),
        new Acknowledgement(true),
        new EndpointLost("a", "w", "http://127.0.0.1:1", List.of("f1", "f2")),
        new QuarantineNews("f1", 1_796_000_000_000L));
  }

  @Nested
  class Read {
    @ParameterizedTest
    @MethodSource("org.sedgeroad.peer.MessageCodecsTest#messages")
    void returnsWhatWasWritten(PeerMessage message) {
      byte[] frame = FrameCodec.encode(Frame.of(Frame.Kind.REQUEST, 8, message)).array();
      Frame read = FrameCodec.decode(Arrays.copyOfRange(frame, 4, frame.length)).orElseThrow();
      assertEquals(Frame.of(Frame.Kind.REQUEST, 8, message), read);
    }

    @Test
    void coversEveryMessage() {
      assertEquals(PeerMessage.class.getPermittedSubclasses().length, messages().size());
    }
  }
}
