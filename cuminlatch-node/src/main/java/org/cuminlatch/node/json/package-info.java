/** Reading of JSON and related formats. */
package org.cuminlatch.node.json;
