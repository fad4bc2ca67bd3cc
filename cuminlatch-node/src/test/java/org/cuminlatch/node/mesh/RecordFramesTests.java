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

@DisplayName("A record between nodes")
class RecordFramesTests {

  private static Item routes(int count) {
    StringBuilder value = new StringBuilder();
    for (int i = 0; i < count; i++) {
      value.append("{\"type\":\"routes\",\"metadata\":{\"name\":\"r").append(i).append("\"}}");
    }
    return new Item("config", value.toString().getBytes(StandardCharsets.UTF_8), 7);
  }

  @Nested
  class OfManyRoutes {

    @Test
    void arrivesAsItWasWritten() {
      Item sent = routes(2000);

      Item arrived = RecordFrames.item(RecordFrames.of(sent)).get();

      assertThat(arrived.key(), is("config"));
      assertThat(arrived.offset(), is(7L));
      assertThat(arrived.value(), equalTo(sent.value()));
    }

    @Test
    void takesSmallPartOfItsSize() {
      Item sent = routes(300);

      assertThat(RecordFrames.of(sent).getValue().size(), lessThan(sent.value().length / 4));
    }
  }

  @Nested
  class ThatCanNotBeTaken {

    @Test
    void isIgnoredWhenItIsNoCompressedValue() {
      ConfigRecord broken =
          ConfigRecord.newBuilder().setValue(ByteString.copyFromUtf8("{\"version\"")).build();

      assertThat(RecordFrames.item(broken), is(Optional.empty()));
      assertThat(RecordFrames.item(ConfigRecord.getDefaultInstance()), is(Optional.empty()));
    }

    @Test
    void isIgnoredWhenItIsCutShort() {
      ByteString whole = RecordFrames.of(routes(300)).getValue();
      ConfigRecord cut = ConfigRecord.newBuilder().setValue(whole.substring(0, 200)).build();

      assertThat(RecordFrames.item(cut), is(Optional.empty()));
    }

    @Test
    void isIgnoredWhenItIsTooLarge() {
      Item large = new Item("config", new byte[RecordFrames.MOST_VALUE_BYTES + 1], 1);

      assertThat(RecordFrames.item(RecordFrames.of(large)), is(Optional.empty()));
    }
  }
}
