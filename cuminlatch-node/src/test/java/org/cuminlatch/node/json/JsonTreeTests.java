package org.cuminlatch.node.json;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("A JSON tree")
class JsonTreeTests {

  private static JsonNode read(String json) throws IOException {
    return JsonTree.read(json.getBytes(StandardCharsets.UTF_8));
  }

  /** Guards against records that are decoded otherwise than by the library's mapper. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "7",
        "\"text \\u00e9\"",
        "{\"a\":[1,-2.5e3,true,false,null,{}],\"b\":{\"c\":[[]]},\"a\":3000000000}",
        "[99999999999999999999999, 0.1, {\"x\":{\"y\":[{\"z\":1}]}}]",
        "{} trailing"
      })
  void equalsThatOfTheMapper(String json) throws IOException {
    assertThat(read(json), is(new ObjectMapper().readTree(json)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"{", "[1,", "{\"a\"}", "{\"a\":1]", "nul", "{a:1}"})
  void isNotReadFromInvalidDocument(String json) {
    assertThrows(IOException.class, () -> read(json));
  }

  /** Guards against a stack overflow that a record with deep nesting could cause. */
  @Test
  void isReadFromNestedDocumentUpToTheParsersLimit() throws IOException {
    assertThat(read("[".repeat(900) + "]".repeat(900)).size(), is(1));
    assertThrows(IOException.class, () -> read("[".repeat(100_000)));
  }
}
