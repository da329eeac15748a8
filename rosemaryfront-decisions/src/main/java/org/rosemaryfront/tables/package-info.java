/**
 * Local copies of the platform's tables: how they are kept up to date, and how old they
 * are.
 */
package org.rosemaryfront.tables;
