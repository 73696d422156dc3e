package org.siskindyke.plugin.table;

import java.util.List;

import org.siskindyke.kernel.table.Row;

/** Paths and JSON bodies of the table service's HTTP interface. */
public final class TableProtocol {
    /** Reads the replicated rows that changed after a version: {@code GET ?since=version&limit=rows}. */
    public static final String CHANGES = "/v1/changes";

    /** Reads one row: {@code GET ?path=path}. */
    public static final String ROW = "/v1/row";

    /** Lists rows by the prefix of their paths: {@code GET ?prefix=prefix&limit=rows}. */
    public static final String ROWS = "/v1/rows";

    /** Applies a transaction: {@code POST} with the transaction as body. */
    public static final String COMMIT = "/v1/commit";

    private TableProtocol() {}

    /**
     * A list of rows.
     *
     * @param rows the rows
     */
    public record Rows(List<Row> rows) {}
}
