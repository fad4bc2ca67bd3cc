/** The course of one request, put together from the lines that the nodes have written. */
package org.cuminlatch.cli.request;
