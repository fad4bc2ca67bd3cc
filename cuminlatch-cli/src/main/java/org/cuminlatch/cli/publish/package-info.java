/** Reader of the TOML files whose resources operators publish. */
package org.cuminlatch.cli.publish;
