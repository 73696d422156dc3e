package org.siskindyke.kernel.document;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;

/** The documents in force on this router. Written by the control thread; may be read by any thread. */
public final class DocumentCatalog {
    private final Map<ServiceName, AcceptedDocument> documents = new ConcurrentHashMap<>();

    /**
     * A document with its position in the table.
     *
     * @param document the document
     * @param number counts the revisions of this document
     * @param revision revision of the row
     */
    public record AcceptedDocument(ServiceDocument document, long number, long revision) {}

    /**
     * Puts a document in force.
     *
     * @param row the document's row
     * @return the document, empty for a deleted row
     * @throws SiskindykeException with code {@code INVARIANT_VIOLATED} for a lower revision than the one in force
     */
    public Optional<AcceptedDocument> apply(Row row) {
        ServiceName service = ServiceName.of(row.path().lastSegment());
        if (row.deleted()) {
            documents.remove(service);
            return Optional.empty();
        }
        DocumentRow read = RowCodec.decode(row, DocumentRow.class);
        AcceptedDocument known = documents.get(service);
        if (known != null && (known.number() > read.number() || known.revision() > row.revision())) {
            throw new SiskindykeException(
                    ErrorCode.INVARIANT_VIOLATED,
                    "document " + service + " would fall from revision " + known.number() + " to " + read.number());
        }
        AcceptedDocument accepted = new AcceptedDocument(read.document(), read.number(), row.revision());
        documents.put(service, accepted);
        return Optional.of(accepted);
    }

    /** Returns the document of a service. */
    public Optional<AcceptedDocument> get(ServiceName service) {
        return Optional.ofNullable(documents.get(service));
    }

    /** Returns all documents. */
    public Collection<AcceptedDocument> all() {
        return documents.values();
    }

    /** Returns the document whose service a call is for. */
    public Optional<AcceptedDocument> match(String host, String path) {
        for (AcceptedDocument accepted : documents.values()) {
            if (accepted.document().match().accepts(host, path)) {
                return Optional.of(accepted);
            }
        }
        return Optional.empty();
    }
}
