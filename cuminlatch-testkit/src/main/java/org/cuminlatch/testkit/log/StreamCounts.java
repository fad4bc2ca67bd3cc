package org.cuminlatch.testkit.log;

/**
 * Usage counters of a stream.
 *
 * @param reads reads answered with status 200
 * @param appends records appended
 * @param bytesRead total length of the answers to these reads in bytes
 * @param bytesAppended total length of the appended records in bytes
 * @param firstOffset offset of the oldest retained record
 * @param nextOffset offset of the next record
 */
public record StreamCounts(
    long reads,
    long appends,
    long bytesRead,
    long bytesAppended,
    long firstOffset,
    long nextOffset) {}
