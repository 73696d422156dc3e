/** Messages between routers. */
package org.siskindyke.runtime.peer;
