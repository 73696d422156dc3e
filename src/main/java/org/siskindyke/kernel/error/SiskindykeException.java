package org.siskindyke.kernel.error;

/** The unchecked error of this project: a code for programs and a message that names the cause and the remedy. */
public class SiskindykeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an error.
     *
     * @param code identifies the kind of error
     * @param message names the cause and, where there is one, the remedy
     */
    public SiskindykeException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates an error with a cause.
     *
     * @param code identifies the kind of error
     * @param message names the cause and, where there is one, the remedy
     * @param cause the underlying error
     */
    public SiskindykeException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the code. */
    public ErrorCode code() {
        return code;
    }
}
