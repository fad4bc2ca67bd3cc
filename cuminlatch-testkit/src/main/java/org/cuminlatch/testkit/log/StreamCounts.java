package org.cuminlatch.testkit.log;

/**
 * What a stream has been used for.
 *
 * @param reads answered reads
 * @param appends records taken
 * @param bytesRead bytes of the answers to reads
 * @param bytesAppended bytes of the records taken
 * @param firstOffset oldest offset retained
 * @param nextOffset offset of the next record
 */
public record StreamCounts(
    long reads,
    long appends,
    long bytesRead,
    long bytesAppended,
    long firstOffset,
    long nextOffset) {}
