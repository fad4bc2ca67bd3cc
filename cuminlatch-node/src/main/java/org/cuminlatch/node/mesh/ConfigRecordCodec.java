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

/** Compresses operators' records for other nodes, as one reader serves all nodes of its zone. */
final class ConfigRecordCodec {

  /** Largest value that is accepted from another node; a record of a store is smaller. */
  static final int MAX_VALUE_BYTES = 4 << 20;

  private ConfigRecordCodec() {}

  /** Record whose frame is encoded when a node first requests it; used by one thread. */
  static final class LazyFrame {

    private final Item item;
    private CallFrame frame;

    LazyFrame(Item item) {
      this.item = item;
    }

    CallFrame frame() {
      if (frame == null) {
        frame = CallFrame.newBuilder().setConfigRecord(encode(item)).build();
      }
      return frame;
    }
  }

  static ConfigRecord encode(Item item) {
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
  static Optional<Item> decode(ConfigRecord record) {
    try (InputStream in = new InflaterInputStream(record.getValue().newInput())) {
      byte[] value = in.readNBytes(MAX_VALUE_BYTES + 1);
      return value.length > MAX_VALUE_BYTES
          ? Optional.empty()
          : Optional.of(new Item(record.getKey(), value, record.getOffset()));
    } catch (IOException unreadable) {
      return Optional.empty();
    }
  }
}
