/** Verdicts, admission, retries and duplicate suppression of calls. */
package org.siskindyke.kernel.call;
