package org.siskindyke.runtime.traffic;

import java.util.List;

import org.siskindyke.runtime.call.Header;

/** Tells from a response to which request it belongs, and whether that request was refused. */
public interface ResponseDialect {
    /** The dialect of a server whose responses name no requests and whose refusals are responses like all others. */
    ResponseDialect ANONYMOUS = new ResponseDialect() {
        @Override
        public String answeredRequestId(List<Header> headers) {
            return null;
        }

        @Override
        public Header requestIdField(String requestId) {
            throw new UnsupportedOperationException("responses name no requests");
        }

        @Override
        public boolean isNotRun(int status, List<Header> headers) {
            return false;
        }

        @Override
        public boolean isGenuine(int status, List<Header> headers) {
            return true;
        }
    };

    /** Returns the id of the request that a response names; null where it names none. */
    String answeredRequestId(List<Header> headers);

    /** Returns the field with which a response names its request. */
    Header requestIdField(String requestId);

    /** Returns whether a response says that the server has not run the request and never will. */
    boolean isNotRun(int status, List<Header> headers);

    /** Returns whether a response has the fields that the server sets on responses of this status. */
    boolean isGenuine(int status, List<Header> headers);
}
