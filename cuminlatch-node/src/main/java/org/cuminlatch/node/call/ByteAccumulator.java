package org.cuminlatch.node.call;

import java.nio.ByteBuffer;
import java.util.List;

/** Accumulates the bytes of several buffers in one array. */
final class ByteAccumulator {

  private static final byte[] EMPTY = new byte[0];

  private byte[] content = EMPTY;

  void add(List<ByteBuffer> parts) {
    byte[] more = copy(parts);
    if (content.length == 0) {
      content = more;
      return;
    }
    byte[] joined = new byte[content.length + more.length];
    System.arraycopy(content, 0, joined, 0, content.length);
    System.arraycopy(more, 0, joined, content.length, more.length);
    content = joined;
  }

  int size() {
    return content.length;
  }

  byte[] removeAll() {
    byte[] removed = content;
    content = EMPTY;
    return removed;
  }

  static byte[] copy(List<ByteBuffer> parts) {
    int size = parts.stream().mapToInt(ByteBuffer::remaining).sum();
    ByteBuffer joined = ByteBuffer.allocate(size);
    parts.forEach(joined::put);
    return joined.array();
  }
}
