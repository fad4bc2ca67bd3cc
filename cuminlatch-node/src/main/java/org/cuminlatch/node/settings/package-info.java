/** Settings of the daemon: a TOML file that is checked completely before anything starts. */
package org.cuminlatch.node.settings;
