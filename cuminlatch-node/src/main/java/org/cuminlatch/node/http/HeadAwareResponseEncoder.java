package org.cuminlatch.node.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes responses without a body if the request's method was HEAD. */
final class HeadAwareResponseEncoder extends HttpResponseEncoder {

  private boolean bodyOmitted;

  void setBodyOmitted(boolean omitted) {
    bodyOmitted = omitted;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse response) {
    return bodyOmitted || super.isContentAlwaysEmpty(response);
  }
}
