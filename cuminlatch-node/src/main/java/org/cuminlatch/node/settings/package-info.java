/** Settings of the daemon: a TOML file, checked whole before anything is started. */
package org.cuminlatch.node.settings;
