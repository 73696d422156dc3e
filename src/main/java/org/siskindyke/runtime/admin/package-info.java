/** The administration API. */
package org.siskindyke.runtime.admin;
