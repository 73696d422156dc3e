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

/** The service documents in force on this router. Written by the control thread; may be read by any thread. */
public final class DocumentCatalog {
    private final Map<ServiceName, AcceptedDocument> documents = new ConcurrentHashMap<>();
    private final Map<String, ServiceName> servicesByHost = new ConcurrentHashMap<>();
    private final Map<String, List<ServiceName>> servicesByFirstSegment = new ConcurrentHashMap<>();

    /**
     * A document in force and its revisions.
     *
     * @param document the document
     * @param documentRevision revision of this document, counted from 1
     * @param rowRevision revision of the row
     */
    public record AcceptedDocument(ServiceDocument document, long documentRevision, long rowRevision) {}

    /**
     * Puts the document of a row in force, or removes the document of a deleted row.
     *
     * @param row the document's row
     * @return the document; empty for a deleted row
     * @throws SiskindykeException with code {@code INVARIANT_VIOLATED} if the revision of the document or of the row is
     *     lower than the one in force; not checked for a deleted row
     */
    public Optional<AcceptedDocument> apply(Row row) {
        if (row.deleted()) {
            removeFromIndex(documents.remove(ServiceName.of(row.path().lastSegment())));
            return Optional.empty();
        }
        return Optional.of(accept(RowCodec.decode(row, DocumentRow.class), row.revision()));
    }

    /**
     * Puts a document in force.
     *
     * @param incoming the document and its revision
     * @param rowRevision revision of its row, or another number that never decreases
     * @return the document
     * @throws SiskindykeException with code {@code INVARIANT_VIOLATED} as above
     */
    public AcceptedDocument accept(DocumentRow incoming, long rowRevision) {
        ServiceName service = incoming.document().service();
        AcceptedDocument current = documents.get(service);
        if (current != null
                && (current.documentRevision() > incoming.number() || current.rowRevision() > rowRevision)) {
            throw new SiskindykeException(
                    ErrorCode.INVARIANT_VIOLATED,
                    "document " + service + ": its revision, or that of its row, is lower than the one in force;"
                            + " document revision in force " + current.documentRevision() + ", received "
                            + incoming.number());
        }
        AcceptedDocument accepted = new AcceptedDocument(incoming.document(), incoming.number(), rowRevision);
        removeFromIndex(current);
        documents.put(service, accepted);
        addToIndex(accepted.document());
        return accepted;
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

    public Optional<AcceptedDocument> get(ServiceName service) {
        return Optional.ofNullable(documents.get(service));
    }

    public Collection<AcceptedDocument> all() {
        return documents.values();
    }

    /**
     * Returns the document that matches a call; a match by host takes precedence over one by path prefix. Of several
     * documents with the same host, the one put in force last is returned; of several with a matching path prefix, the
     * one put in force first. Each edit puts a document in force anew. Once the document that is returned for a host is
     * removed, or no longer lists the host, the others do not match by that host until they are put in force anew.
     *
     * @param host value of the Host header without the port; may be null
     * @param path the call's path
     * @return the document; empty if none matches
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
