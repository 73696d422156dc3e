/** Service documents: model, strict reading and validation. */
package org.siskindyke.kernel.document;
