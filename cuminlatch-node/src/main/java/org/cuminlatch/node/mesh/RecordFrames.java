package org.cuminlatch.node.mesh;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.ConfigRecord;

/** Carries operators' records between nodes, compressed: one reader serves all of its zone. */
final class RecordFrames {

  /** Largest value that is taken from another node, above what a store holds in a record. */
  static final int MOST_VALUE_BYTES = 4 << 20;

  private RecordFrames() {}

  /** A record whose frame is made when a node first asks for it; used by one thread. */
  static final class Lazy {

    private final Item item;
    private CallFrame frame;

    Lazy(Item item) {
      this.item = item;
    }

    CallFrame frame() {
      if (frame == null) {
        frame = CallFrame.newBuilder().setConfigRecord(of(item)).build();
      }
      return frame;
    }
  }

  static ConfigRecord of(Item item) {
    ByteString.Output compressed = ByteString.newOutput();
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try (OutputStream out = new DeflaterOutputStream(compressed, deflater)) {
      out.write(item.value());
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    } finally {
      deflater.end();
    }
    return ConfigRecord.newBuilder()
        .setKey(item.key())
        .setValue(compressed.toByteString())
        .setOffset(item.offset())
        .build();
  }

  /** Returns the record, empty if it can't be decompressed or is too large. */
  static Optional<Item> item(ConfigRecord record) {
    try (InputStream in = new InflaterInputStream(record.getValue().newInput())) {
      byte[] value = in.readNBytes(MOST_VALUE_BYTES + 1);
      return value.length > MOST_VALUE_BYTES
          ? Optional.empty()
          : Optional.of(new Item(record.getKey(), value, record.getOffset()));
    } catch (IOException unreadable) {
      return Optional.empty();
    }
  }
}
