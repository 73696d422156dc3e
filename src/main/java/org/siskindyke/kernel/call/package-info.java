/** Admission, retry budgets, duplicate suppression and verdicts of calls. */
package org.siskindyke.kernel.call;
