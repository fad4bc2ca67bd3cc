package org.cuminlatch.node.operator;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Map;
import java.util.function.Function;

/**
 * A page of the operator server.
 *
 * @param method HTTP method that it answers
 * @param content computes the page's value, to be written as JSON, from the query parameters
 */
public record OperatorPage(String method, Function<Map<String, String>, Object> content) {

  /** Checks the fields. */
  public OperatorPage {
    notBlank(method, "method");
    notNull(content, "content");
  }

  /**
   * Creates a page that is read by GET.
   *
   * @param content computes the page's value
   * @return the page
   */
  public static OperatorPage read(Function<Map<String, String>, Object> content) {
    return new OperatorPage("GET", content);
  }

  /**
   * Creates a page that acts on POST.
   *
   * @param content acts and computes the page's value
   * @return the page
   */
  public static OperatorPage act(Function<Map<String, String>, Object> content) {
    return new OperatorPage("POST", content);
  }
}
