package org.cuminlatch.node.control;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cuminlatch.core.config.Bytes;
import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.spread.LogRequests;
import org.cuminlatch.core.spread.SpreadEngine;
import org.cuminlatch.wire.log.LogClient;
import org.cuminlatch.wire.log.LogClient.LogBatch;
import org.cuminlatch.wire.log.LogStreams;

/**
 * Forwards the log requests of the spread engine to the log client and returns the results to the
 * engine on the control thread.
 */
final class LogGateway implements LogRequests {

  private static final Logger LOG = LogManager.getLogger(LogGateway.class);

  private final LogClient client;
  private final Executor controlThread;
  private final InstantSource clock;
  private SpreadEngine engine;

  LogGateway(LogClient client, Executor controlThread, InstantSource clock) {
    this.client = notNull(client, "client");
    this.controlThread = notNull(controlThread, "controlThread");
    this.clock = notNull(clock, "clock");
  }

  /** Sets the engine that receives the results; must be called before the first request. */
  void setEngine(SpreadEngine engine) {
    this.engine = notNull(engine, "engine");
  }

  @Override
  public void read(Stream stream, long from, int maxRecords, Duration wait) {
    client
        .read(nameOf(stream), from, maxRecords, wait)
        .whenCompleteAsync((batch, failure) -> onRead(stream, batch, failure), controlThread);
  }

  @Override
  public void append(Stream stream, Bytes content) {
    client
        .append(nameOf(stream), content)
        .whenCompleteAsync((offset, failure) -> onAppended(stream, offset, failure), controlThread);
  }

  private void onRead(Stream stream, LogBatch batch, Throwable failure) {
    if (failure != null) {
      onFailure(stream, failure, false);
      return;
    }
    engine.onLogBatch(
        stream, batch.firstOffset(), batch.nextOffset(), batch.records(), clock.instant());
  }

  private void onAppended(Stream stream, Long offset, Throwable failure) {
    if (failure != null) {
      onFailure(stream, failure, true);
      return;
    }
    engine.onAppended(stream, offset, clock.instant());
  }

  private void onFailure(Stream stream, Throwable failure, boolean wasAppend) {
    LOG.debug("request to log stream {} failed: {}", stream, failure.toString());
    engine.onLogFailure(stream, codeOf(failure), wasAppend, clock.instant());
  }

  private static ErrorCode codeOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof CuminlatchException known ? known.code() : ErrorCode.LOG_UNAVAILABLE;
  }

  private static String nameOf(Stream stream) {
    return switch (stream) {
      case CONFIGURATION -> LogStreams.CONFIGURATION;
      case CHECKPOINTS -> LogStreams.CHECKPOINTS;
      case RENDEZVOUS -> LogStreams.RENDEZVOUS;
    };
  }
}
