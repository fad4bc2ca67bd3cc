/**
 * Configuration as a fold over the platform's log: records, resources, snapshots and checkpoints.
 */
package org.cuminlatch.core.config;
