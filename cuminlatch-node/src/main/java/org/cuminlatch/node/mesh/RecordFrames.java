package org.cuminlatch.node.mesh;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.ConfigRecord;

/** Carries operators' records between nodes, compressed: one reader serves all of its zone. */
final class RecordFrames {

  /** Largest value that is taken from another node, above what a store holds in a record. */
  static final int MOST_VALUE_BYTES = 4 << 20;

  private static final int CHUNK_BYTES = 16 * 1024;

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
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(item.value());
      deflater.finish();
      ByteArrayOutputStream compressed = new ByteArrayOutputStream();
      byte[] chunk = new byte[CHUNK_BYTES];
      while (!deflater.finished()) {
        compressed.write(chunk, 0, deflater.deflate(chunk));
      }
      return ConfigRecord.newBuilder()
          .setKey(item.key())
          .setValue(ByteString.copyFrom(compressed.toByteArray()))
          .setOffset(item.offset())
          .build();
    } finally {
      deflater.end();
    }
  }

  /** Returns the record, empty if it can't be decompressed or is too large. */
  static Optional<Item> item(ConfigRecord record) {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(record.getValue().toByteArray());
      ByteArrayOutputStream value = new ByteArrayOutputStream();
      byte[] chunk = new byte[CHUNK_BYTES];
      while (!inflater.finished()) {
        int length = inflater.inflate(chunk);
        if (length == 0 || value.size() + length > MOST_VALUE_BYTES) {
          return Optional.empty();
        }
        value.write(chunk, 0, length);
      }
      return Optional.of(new Item(record.getKey(), value.toByteArray(), record.getOffset()));
    } catch (DataFormatException unreadable) {
      return Optional.empty();
    } finally {
      inflater.end();
    }
  }
}
