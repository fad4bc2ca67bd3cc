package org.cuminlatch.node.mesh;

import io.netty.channel.EventLoop;
import java.time.InstantSource;
import java.util.SplittableRandom;
import org.cuminlatch.node.event.EventLog;

/** Creates what nodes know of the era of the store. */
final class EraFixture {

  /** Time after which writes that repeat lost records have begun. */
  static final long SPREAD_MILLIS = 1500;

  private EraFixture() {}

  static StoreEraControl create(EventLoop loop) {
    return new StoreEraControl(
        loop,
        InstantSource.system(),
        new SplittableRandom(1),
        EventLog.start(InstantSource.system(), "node"));
  }
}
