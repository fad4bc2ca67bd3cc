package org.cuminlatch.node.http;

/** Request that a response belongs to, as far as the response itself tells. */
public enum ResponseOwner {
  /** The response names the request that it was read for, and no other. */
  THIS_REQUEST,

  /** The response belongs to another request. */
  OTHER_REQUEST,

  /**
   * The response names no request. It belongs to the request that it was read for if that is the
   * first one on the connection; otherwise it may be a late or repeated one to an earlier request.
   */
  UNNAMED,

  /**
   * The server's responses never name their requests; the response is taken for the awaited one.
   */
  UNSPECIFIED
}
