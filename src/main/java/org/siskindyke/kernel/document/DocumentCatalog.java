package org.siskindyke.kernel.document;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
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
    private final Map<String, ServiceName> servicesByHost = new ConcurrentHashMap<>();
    private final Map<String, List<ServiceName>> servicesByFirstSegment = new ConcurrentHashMap<>();

    /**
     * A document with its position in the table.
     *
     * @param document the document
     * @param documentRevision counts the revisions of this document
     * @param rowRevision revision of the row
     */
    public record AcceptedDocument(ServiceDocument document, long documentRevision, long rowRevision) {}

    /**
     * Puts a document in force.
     *
     * @param row the document's row
     * @return the document, empty for a deleted row
     * @throws SiskindykeException with code {@code INVARIANT_VIOLATED} for a lower revision than the one in force
     */
    public Optional<AcceptedDocument> apply(Row row) {
        ServiceName service = ServiceName.of(row.path().lastSegment());
        AcceptedDocument current = documents.get(service);
        if (row.deleted()) {
            documents.remove(service);
            removeFromIndex(current);
            return Optional.empty();
        }
        DocumentRow incoming = RowCodec.decode(row, DocumentRow.class);
        if (current != null && (current.documentRevision() > incoming.number() || current.rowRevision() > row.revision())) {
            throw new SiskindykeException(
                    ErrorCode.INVARIANT_VIOLATED,
                    "document " + service + " would fall from revision " + current.documentRevision() + " to "
                            + incoming.number());
        }
        AcceptedDocument accepted = new AcceptedDocument(incoming.document(), incoming.number(), row.revision());
        removeFromIndex(current);
        documents.put(service, accepted);
        addToIndex(accepted.document());
        return Optional.of(accepted);
    }

    private void addToIndex(ServiceDocument document) {
        MatchRule match = document.match();
        match.hosts().forEach(host -> servicesByHost.put(host, document.service()));
        if (match.pathPrefix() != null) {
            servicesByFirstSegment.compute(firstSegment(match.pathPrefix()), (segment, services) -> {
                List<ServiceName> updated = new ArrayList<>(services == null ? List.of() : services);
                updated.add(document.service());
                return List.copyOf(updated);
            });
        }
    }

    private void removeFromIndex(AcceptedDocument current) {
        if (current == null) {
            return;
        }
        MatchRule match = current.document().match();
        ServiceName service = current.document().service();
        match.hosts().forEach(host -> servicesByHost.remove(host, service));
        if (match.pathPrefix() != null) {
            servicesByFirstSegment.computeIfPresent(
                    firstSegment(match.pathPrefix()),
                    (segment, services) ->
                            services.stream().filter(s -> !s.equals(service)).toList());
        }
    }

    private static String firstSegment(String path) {
        int end = path.indexOf('/', 1);
        return end < 0 ? path : path.substring(0, end);
    }

    /** Returns the document of a service. */
    public Optional<AcceptedDocument> get(ServiceName service) {
        return Optional.ofNullable(documents.get(service));
    }

    /** Returns all documents. */
    public Collection<AcceptedDocument> all() {
        return documents.values();
    }

    /**
     * Returns the document whose service a call is for. A host goes before a path prefix.
     *
     * @param host the call's Host header without port; may be null
     * @param path the call's path
     */
    public Optional<AcceptedDocument> match(String host, String path) {
        ServiceName byHost = host == null ? null : servicesByHost.get(host);
        if (byHost != null) {
            return get(byHost);
        }
        for (ServiceName service : servicesByFirstSegment.getOrDefault(firstSegment(path), List.of())) {
            AcceptedDocument accepted = documents.get(service);
            if (accepted != null && accepted.document().match().accepts(host, path)) {
                return Optional.of(accepted);
            }
        }
        return Optional.empty();
    }
}
