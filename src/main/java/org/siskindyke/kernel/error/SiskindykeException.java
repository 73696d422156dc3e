package org.siskindyke.kernel.error;

/** The unchecked exception of this project, with a code for programs and a message for people. */
public class SiskindykeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an exception.
     *
     * @param code identifies the kind of error
     * @param message names the cause and, where there is one, the remedy
     */
    public SiskindykeException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code identifies the kind of error
     * @param message names the cause and, where there is one, the remedy
     * @param cause the underlying exception
     */
    public SiskindykeException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the code that identifies the kind of error. */
    public ErrorCode code() {
        return code;
    }
}
