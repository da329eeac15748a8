/** What is known of the platform's tables, and how old that knowledge is. */
package org.rosemaryfront.tables;
