package org.cuminlatch.node.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Leaves out the body of an answer to HEAD. */
final class StrictResponseEncoder extends HttpResponseEncoder {

  private boolean bodiless;

  void bodiless(boolean value) {
    bodiless = value;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse response) {
    return bodiless || super.isContentAlwaysEmpty(response);
  }
}
