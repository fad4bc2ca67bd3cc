package org.cuminlatch.node.control;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.function.LongSupplier;
import org.cuminlatch.wire.control.TransportCounters;
import org.cuminlatch.wire.control.TransportCounters.Traffic;
import org.cuminlatch.wire.proto.control.Protocol;

/** Registers the counters of the control transport as gauges. */
final class TransportMetrics {

  private TransportMetrics() {}

  static void register(MetricRegistry metrics, TransportCounters counters) {
    for (Protocol protocol : Protocol.values()) {
      if (protocol != Protocol.UNRECOGNIZED && protocol != Protocol.PROTOCOL_UNSPECIFIED) {
        String name = "control." + protocol.name().toLowerCase(Locale.ROOT);
        registerTraffic(metrics, name, counters.of(protocol));
      }
    }
    registerTraffic(metrics, "control.across-regions", counters.acrossRegions());
    gauge(metrics, "control.strangers", counters::strangers);
    gauge(metrics, "control.malformed", counters::malformed);
    gauge(metrics, "control.dropped", counters::dropped);
    gauge(metrics, "control.silent-connections", counters::silentConnections);
  }

  private static void registerTraffic(MetricRegistry metrics, String name, Traffic traffic) {
    gauge(metrics, name + ".messages-in", traffic::messagesIn);
    gauge(metrics, name + ".messages-out", traffic::messagesOut);
    gauge(metrics, name + ".bytes-in", traffic::bytesIn);
    gauge(metrics, name + ".bytes-out", traffic::bytesOut);
  }

  private static void gauge(MetricRegistry metrics, String name, LongSupplier value) {
    Gauge<Long> gauge = value::getAsLong;
    metrics.gauge(name, () -> gauge);
  }
}
