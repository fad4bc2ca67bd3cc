package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cuminlatch.node.mesh.KeyedStore.Item;
import org.cuminlatch.wire.proto.call.ConfigRecord;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A configuration record between nodes")
class ConfigRecordCodecTests {

  private static Item recordWithRoutes(int count) {
    StringBuilder value = new StringBuilder();
    for (int i = 0; i < count; i++) {
      value.append("{\"type\":\"routes\",\"metadata\":{\"name\":\"r").append(i).append("\"}}");
    }
    return new Item("config", value.toString().getBytes(StandardCharsets.UTF_8), 7);
  }

  @Nested
  class WhenItHoldsManyRoutes {

    @Test
    void isDecodedToTheOriginalRecord() {
      Item original = recordWithRoutes(2000);

      Item decoded = ConfigRecordCodec.decode(ConfigRecordCodec.encode(original)).get();

      assertThat(decoded.key(), is("config"));
      assertThat(decoded.offset(), is(7L));
      assertThat(decoded.value(), equalTo(original.value()));
    }

    @Test
    void isCompressedToLessThanQuarterOfItsSize() {
      Item original = recordWithRoutes(300);

      assertThat(
          ConfigRecordCodec.encode(original).getValue().size(),
          lessThan(original.value().length / 4));
    }
  }

  @Nested
  class WhenItIsInvalid {

    @Test
    void isIgnoredIfItsValueIsNotCompressed() {
      ConfigRecord uncompressed =
          ConfigRecord.newBuilder().setValue(ByteString.copyFromUtf8("{\"version\"")).build();

      assertThat(ConfigRecordCodec.decode(uncompressed), is(Optional.empty()));
      assertThat(ConfigRecordCodec.decode(ConfigRecord.getDefaultInstance()), is(Optional.empty()));
    }

    @Test
    void isIgnoredIfItsValueIsTruncated() {
      ByteString complete = ConfigRecordCodec.encode(recordWithRoutes(300)).getValue();
      ConfigRecord truncated =
          ConfigRecord.newBuilder().setValue(complete.substring(0, 200)).build();

      assertThat(ConfigRecordCodec.decode(truncated), is(Optional.empty()));
    }

    @Test
    void isIgnoredIfItsValueIsTooLarge() {
      Item large = new Item("config", new byte[ConfigRecordCodec.MAX_VALUE_BYTES + 1], 1);

      assertThat(ConfigRecordCodec.decode(ConfigRecordCodec.encode(large)), is(Optional.empty()));
    }
  }
}
