package org.siskindyke.kernel.document;

/**
 * A problem found in a document.
 *
 * @param path the field, such as {@code targets[2].slots}
 * @param line one-based line in the text, 0 if unknown
 * @param message what is wrong
 * @param fix how to correct it
 */
public record DocumentProblem(String path, int line, String message, String fix) {
    @Override
    public String toString() {
        return "line " + line + ": " + path + ": " + message + "; " + fix;
    }
}
