package org.cuminlatch.node.operator;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Map;
import java.util.function.Function;

/**
 * A page of the operator server.
 *
 * @param method HTTP method that the page accepts
 * @param content computes the value of the page from the query parameters; it is written as JSON
 */
public record OperatorPage(String method, Function<Map<String, String>, Object> content) {

  /** Validates the components. */
  public OperatorPage {
    notBlank(method, "method");
    notNull(content, "content");
  }

  /**
   * Creates a page that is requested with GET.
   *
   * @param content computes the value of the page
   * @return the page
   */
  public static OperatorPage get(Function<Map<String, String>, Object> content) {
    return new OperatorPage("GET", content);
  }

  /**
   * Creates a page that performs an action when requested with POST.
   *
   * @param content performs the action and computes the value of the page
   * @return the page
   */
  public static OperatorPage post(Function<Map<String, String>, Object> content) {
    return new OperatorPage("POST", content);
  }
}
