/** Value types for the identifiers that the router works with. */
package org.siskindyke.kernel.id;
