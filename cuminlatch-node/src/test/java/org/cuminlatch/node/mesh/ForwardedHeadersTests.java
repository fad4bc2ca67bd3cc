package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.Map;
import org.cuminlatch.node.http.ClientResponse;
import org.cuminlatch.node.http.ResponseOwner;
import org.cuminlatch.wire.proto.call.Begin;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The request that an answer belongs to")
class ForwardedHeadersTests {

  private static ResponseOwner ownerOf(int status, String... ids) {
    ClientResponse answer =
        new ClientResponse(
            status, Arrays.stream(ids).map(id -> Map.entry("Id", id)).toList(), new byte[0]);
    Begin begin = Begin.newBuilder().setRequestId("a").build();
    return ForwardedHeaders.ownerOf(answer, begin, GateFixture.HEADERS);
  }

  @Test
  void isTheOneThatAllItsIdsName() {
    assertThat(ownerOf(200, "a"), is(ResponseOwner.THIS_REQUEST));
    assertThat(ownerOf(200, "a", "a"), is(ResponseOwner.THIS_REQUEST));
    assertThat(ownerOf(200, "b"), is(ResponseOwner.OTHER_REQUEST));
  }

  // guards against a head that is put together from two answers
  @Test
  void isAnotherIfOneOfItsIdsDiffers() {
    assertThat(ownerOf(200, "a", "b"), is(ResponseOwner.OTHER_REQUEST));
    assertThat(ownerOf(500, "b", "a"), is(ResponseOwner.OTHER_REQUEST));
  }

  @Test
  void isOpenWithoutAnIdUnlessItIsSuccess() {
    assertThat(ownerOf(500), is(ResponseOwner.UNNAMED));
    assertThat(ownerOf(200), is(ResponseOwner.OTHER_REQUEST));
  }
}
