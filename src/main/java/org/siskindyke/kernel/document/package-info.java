/** Service documents: model, strict parsing and validation. */
package org.siskindyke.kernel.document;
