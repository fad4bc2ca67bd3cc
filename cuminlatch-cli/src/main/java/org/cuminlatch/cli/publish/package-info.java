/** Files of resources that operators publish. */
package org.cuminlatch.cli.publish;
