package org.cuminlatch.wire.control;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.cuminlatch.core.control.ControlMessage;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.wire.proto.control.ControlFrame;
import org.cuminlatch.wire.proto.control.Protocol;

/**
 * Encodes and decodes control frames, which hold the name of the mesh, the sender and one message.
 *
 * <p>Larger payloads are compressed.
 */
public final class ControlFrameCodec {

  /** Maximum size of a frame in bytes. */
  public static final int MAX_FRAME_BYTES = 512 * 1024;

  /** Maximum size of an inflated payload in bytes. */
  public static final int MAX_PAYLOAD_BYTES = 2 * 1024 * 1024;

  private static final int MIN_COMPRESSED_PAYLOAD_BYTES = 160;

  private final String mesh;
  private final List<PayloadCodec<?>> codecs;
  private final Map<Protocol, PayloadCodec<?>> codecByProtocol = new EnumMap<>(Protocol.class);

  private final Deflater deflater = new Deflater(Deflater.BEST_SPEED);

  private ControlFrameCodec(String mesh, List<PayloadCodec<?>> codecs) {
    this.mesh = mesh;
    this.codecs = codecs;
    codecs.forEach(codec -> codecByProtocol.put(codec.protocol(), codec));
  }

  /**
   * Creates a codec.
   *
   * @param mesh name of the mesh
   * @param codecs one codec for each protocol
   * @return the codec
   */
  public static ControlFrameCodec of(String mesh, List<PayloadCodec<?>> codecs) {
    return new ControlFrameCodec(notBlank(mesh, "mesh"), List.copyOf(notNull(codecs, "codecs")));
  }

  /**
   * An encoded frame.
   *
   * @param protocol protocol of the message
   * @param bytes the encoded frame
   */
  public record EncodedFrame(Protocol protocol, byte[] bytes) {}

  /**
   * A decoded frame.
   *
   * @param sender control address of the sender
   * @param protocol protocol of the message
   * @param message the message
   */
  public record DecodedFrame(Address sender, Protocol protocol, ControlMessage message) {}

  /**
   * Encodes a message.
   *
   * @param sender control address of the sender
   * @param message the message
   * @return the frame
   * @throws IllegalArgumentException if there is no codec for the type of the message
   */
  public EncodedFrame encode(Address sender, ControlMessage message) {
    PayloadCodec<?> codec =
        codecs.stream()
            .filter(candidate -> candidate.messageType().isInstance(message))
            .findFirst()
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "no codec for messages of type " + message.getClass()));
    byte[] payload = encodePayload(codec, message);
    byte[] deflated = payload.length < MIN_COMPRESSED_PAYLOAD_BYTES ? payload : deflate(payload);
    boolean useDeflated = deflated.length < payload.length;
    ControlFrame frame =
        ControlFrame.newBuilder()
            .setMesh(mesh)
            .setSender(sender.toString())
            .setProtocol(codec.protocol())
            .setPayload(ByteString.copyFrom(useDeflated ? deflated : payload))
            .setDeflated(useDeflated)
            .build();
    return new EncodedFrame(codec.protocol(), frame.toByteArray());
  }

  private static <M extends ControlMessage> byte[] encodePayload(
      PayloadCodec<M> codec, ControlMessage message) {
    return codec.encode(codec.messageType().cast(message));
  }

  /**
   * Decodes a frame.
   *
   * @param bytes the frame
   * @return the message and its sender, or empty if the frame belongs to another mesh
   * @throws org.cuminlatch.core.error.CuminlatchException with {@code INVALID_FRAME} if the frame
   *     is malformed, too large or of an unknown protocol
   */
  public Optional<DecodedFrame> decode(byte[] bytes) {
    if (bytes.length > MAX_FRAME_BYTES) {
      throw FrameErrors.invalid("-", "frame of " + bytes.length + " bytes is too large");
    }
    ControlFrame frame = parse(bytes);
    if (!frame.getMesh().equals(mesh)) {
      return Optional.empty();
    }
    PayloadCodec<?> codec = codecByProtocol.get(frame.getProtocol());
    if (codec == null) {
      throw FrameErrors.invalid(frame.getSender(), "unknown protocol " + frame.getProtocolValue());
    }
    byte[] payload = frame.getPayload().toByteArray();
    ControlMessage message =
        codec.decode(frame.getDeflated() ? inflate(payload, frame.getSender()) : payload);
    return Optional.of(new DecodedFrame(sender(frame), frame.getProtocol(), message));
  }

  private static ControlFrame parse(byte[] bytes) {
    try {
      return ControlFrame.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw FrameErrors.malformed("frame", e);
    }
  }

  private static Address sender(ControlFrame frame) {
    try {
      return Address.parse(frame.getSender());
    } catch (IllegalArgumentException e) {
      throw FrameErrors.malformed("sender", e);
    }
  }

  private synchronized byte[] deflate(byte[] payload) {
    deflater.reset();
    deflater.setInput(payload);
    deflater.finish();
    byte[] deflated = new byte[payload.length];
    int length = deflater.deflate(deflated);
    return deflater.finished() ? Arrays.copyOf(deflated, length) : payload;
  }

  private static byte[] inflate(byte[] deflated, String peer) {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(deflated);
      List<byte[]> chunks = new ArrayList<>();
      int total = 0;
      while (!inflater.finished()) {
        byte[] chunk = new byte[Math.max(1024, deflated.length * 4)];
        int length = inflater.inflate(chunk);
        total += length;
        if (length == 0 || total > MAX_PAYLOAD_BYTES) {
          throw FrameErrors.invalid(peer, "payload is truncated or too large when inflated");
        }
        chunks.add(Arrays.copyOf(chunk, length));
      }
      return concatenate(chunks, total);
    } catch (DataFormatException e) {
      throw FrameErrors.malformed("payload", e);
    } finally {
      inflater.end();
    }
  }

  private static byte[] concatenate(List<byte[]> chunks, int total) {
    byte[] concatenated = new byte[total];
    int position = 0;
    for (byte[] chunk : chunks) {
      System.arraycopy(chunk, 0, concatenated, position, chunk.length);
      position += chunk.length;
    }
    return concatenated;
  }
}
