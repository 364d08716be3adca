package org.sedgeroad.peer;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.sedgeroad.MonotonicClock;
import org.sedgeroad.event.EventLog;

/**
 * Guards against lost answers, and against failures of the network caused by peers that send
 * invalid data or disappear.
 */
class TcpPeerNetworkTest {
  private final Map<String, InetSocketAddress> directory = new ConcurrentHashMap<>();
  private final List<String> received = new CopyOnWriteArrayList<>();
  private TcpPeerNetwork left;
  private TcpPeerNetwork right;

  @BeforeEach
  void start() throws IOException {
    left = open("left", 0);
    right = open("right", 0);
  }

  @AfterEach
  void stop() {
    left.close();
    right.close();
  }

  private TcpPeerNetwork open(String name, int port) throws IOException {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    TcpPeerNetwork network =
        TcpPeerNetwork.bind(name, address, MonotonicClock.SYSTEM, EventLog.of(name));
    directory.put(name, network.address());
    network.start(instance -> Optional.ofNullable(directory.get(instance)));
    network.handle(
        Leaving.class,
        (sender, leaving) -> {
          received.add(sender + ":" + leaving.sender());
          return Optional.empty();
        });
    network.handle(
        GrantRequest.class,
        (sender, request) ->
            Optional.of(
                new Grant(request.member(), request.limit(), request.wanted(), 1_000, 0, 5)));
    return network;
  }

  private static GrantRequest request(int number) {
    return new GrantRequest("left", "m" + number, "tokens-per-second", number);
  }

  private long callRight(int number) throws Exception {
    long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(2_000);
    return ((Grant) left.call("right", request(number), deadline).get(3, TimeUnit.SECONDS))
        .granted();
  }

  @Nested
  class Call {
    @Test
    void returnsTheAnswerToItsOwnRequest() throws Exception {
      long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(5_000);
      var answers =
          java.util.stream.IntStream.range(0, 400)
              .mapToObj(number -> left.call("right", request(number), deadline))
              .toList();
      for (int i = 0; i < answers.size(); i++) {
        assertEquals(i, ((Grant) answers.get(i).get(5, TimeUnit.SECONDS)).granted());
      }
    }

    @Test
    void failsSoonWhenThePeerIsUnknownUnreachableOrHasNoHandler() {
      directory.put("gone", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
      long deadline = MonotonicClock.SYSTEM.deadlineAfterMillis(5_000);
      for (String peer : List.of("nobody", "gone")) {
        assertThrows(
            ExecutionException.class,
            () -> left.call(peer, request(1), deadline).get(1, TimeUnit.SECONDS));
      }
      assertThrows(
          ExecutionException.class,
          () -> left.call("right", new LeaseRenewal("x", 1), deadline).get(1, TimeUnit.SECONDS));
    }

    @Test
    void worksAgainAfterThePeerRestarts() throws Exception {
      assertEquals(1, callRight(1));
      int port = right.address().getPort();
      right.close();
      right = open("right", port);
      await()
          .atMost(Duration.ofSeconds(5))
          .ignoreExceptions()
          .untilAsserted(() -> assertEquals(2, callRight(2)));
    }
  }

  @Nested
  class Send {
    @Test
    void deliversInOrderAndCountsBytes() {
      for (int i = 0; i < 100; i++) {
        left.send("right", new Leaving("x" + i));
      }
      await().until(() -> received.size() == 100);
      assertEquals("left:x99", received.get(99));
      PeerTraffic sentTraffic =
          left.traffic().stream()
              .filter(traffic -> traffic.messageClass().equals("Leaving"))
              .findAny()
              .get();
      PeerTraffic receivedTraffic =
          right.traffic().stream()
              .filter(traffic -> traffic.messageClass().equals("Leaving"))
              .findAny()
              .get();
      assertEquals(sentTraffic.sentBytes(), receivedTraffic.receivedBytes());
    }

    /** Guards against messages that pile up without bound for a peer that reads nothing. */
    @Test
    void dropsTheOldestWhenAPeerDoesNotRead() throws Exception {
      try (java.net.ServerSocket silent =
          new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        directory.put(
            "silent", new InetSocketAddress(silent.getInetAddress(), silent.getLocalPort()));
        String text = "x".repeat(50_000);
        for (int i = 0; i < 400; i++) {
          left.send("silent", new Leaving(text));
        }
        assertTrue(
            left.traffic().stream()
                    .filter(traffic -> traffic.peer().equals("silent"))
                    .mapToLong(PeerTraffic::droppedFrames)
                    .sum()
                > 100);
        assertEquals(3, callRight(3));
      }
    }
  }

  @Nested
  class InvalidInput {
    private final byte[] greeting = FrameCodec.encode(Frame.greeting("stranger")).array();

    private Socket connect() throws IOException {
      Socket socket = new Socket(right.address().getAddress(), right.address().getPort());
      socket.setSoTimeout(5_000);
      return socket;
    }

    private void assertClosed(byte[]... parts) throws Exception {
      try (Socket socket = connect()) {
        for (byte[] part : parts) {
          socket.getOutputStream().write(part);
        }
        assertEquals(0, readToEnd(socket));
      }
      assertEquals(4, callRight(4));
    }

    private int readToEnd(Socket socket) {
      try {
        socket.getInputStream().readAllBytes();
        return 0;
      } catch (java.net.SocketTimeoutException open) {
        return -1;
      } catch (IOException reset) {
        return 0;
      }
    }

    @Test
    void closesTheConnectionOnly() throws Exception {
      assertClosed("GET / HTTP/1.1\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
      assertClosed(ByteBuffer.allocate(4).putInt((1 << 20) + 1).array());
      assertClosed(FrameCodec.encode(Frame.of(Frame.Kind.ONE_WAY, 0, new Leaving("x"))).array());
      byte[] huge = {0, 0, 0, 9, 1, 0, 1, (byte) 0xa1, 'x', (byte) 0x90, (byte) 0xc6, 0x7f, 0x7f};
      assertClosed(greeting, huge);
    }

    @Test
    void doesNotStopTheNetworkIfRandom() throws Exception {
      Random random = new Random(3);
      for (int i = 0; i < 200; i++) {
        byte[] frame = new byte[1 + random.nextInt(300)];
        random.nextBytes(frame);
        frame[0] = (byte) random.nextInt(4);
        try (Socket socket = connect()) {
          socket.getOutputStream().write(greeting);
          socket
              .getOutputStream()
              .write(ByteBuffer.allocate(4 + frame.length).putInt(frame.length).put(frame).array());
        } catch (IOException closed) {
          // The other side closes the connection at the first frame that it can't decode.
        }
      }
      assertEquals(5, callRight(5));
    }

    @Test
    void isSkippedIfOfUnknownType() throws Exception {
      try (Socket socket = connect();
          MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
        packer.packInt(1).packLong(0).packInt(99).packString("later version");
        byte[] unknown = packer.toByteArray();
        socket.getOutputStream().write(greeting);
        socket.getOutputStream().write(ByteBuffer.allocate(4).putInt(unknown.length).array());
        socket.getOutputStream().write(unknown);
        socket
            .getOutputStream()
            .write(FrameCodec.encode(Frame.of(Frame.Kind.ONE_WAY, 0, new Leaving("y"))).array());
        await().until(() -> received.contains("stranger:y"));
      }
    }
  }
}
