package org.siskindyke.plugin.table;

import java.util.List;

import org.siskindyke.kernel.table.Row;

/** Paths and bodies of the table service's HTTP interface. */
public final class TableProtocol {
    /** Reads changes: {@code GET ?since=V&limit=N}. */
    public static final String CHANGES = "/v1/changes";

    /** Reads a row: {@code GET ?path=P}. */
    public static final String ROW = "/v1/row";

    /** Lists rows: {@code GET ?prefix=P&limit=N}. */
    public static final String ROWS = "/v1/rows";

    /** Applies a transaction: {@code POST}. */
    public static final String COMMIT = "/v1/commit";

    private TableProtocol() {}

    /**
     * A list of rows.
     *
     * @param rows the rows
     */
    public record Rows(List<Row> rows) {}
}
