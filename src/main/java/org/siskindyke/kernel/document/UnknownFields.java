package org.siskindyke.kernel.document;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;

/** Finds the fields of a document that no record declares, so that a misspelled field is reported as unknown. */
final class UnknownFields {
    private final List<DocumentProblem> problems = new ArrayList<>();

    private UnknownFields() {}

    /**
     * Finds unknown fields.
     *
     * @param document the parsed text
     * @param type the record type of the document
     * @return a problem for each unknown field, with line 0
     */
    static List<DocumentProblem> find(JsonNode document, Class<? extends Record> type) {
        UnknownFields search = new UnknownFields();
        search.visitRecord(document, type, "");
        return search.problems;
    }

    private void visitRecord(JsonNode node, Class<?> type, String path) {
        Map<String, RecordComponent> known =
                Arrays.stream(type.getRecordComponents()).collect(Collectors.toMap(RecordComponent::getName, c -> c));
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            String fieldPath = path.isEmpty() ? name : path + "." + name;
            RecordComponent component = known.get(name);
            if (component == null) {
                String fix = "use one of: " + known.keySet().stream().sorted().collect(Collectors.joining(", "));
                problems.add(new DocumentProblem(fieldPath, 0, "unknown field", fix));
            } else {
                visit(node.get(name), component.getGenericType(), fieldPath);
            }
        }
    }

    private void visit(JsonNode node, Type type, String path) {
        if (type instanceof Class<?> plain && plain.isRecord() && node.isObject()) {
            visitRecord(node, plain, path);
        } else if (type instanceof ParameterizedType list && node.isArray()) {
            for (int i = 0; i < node.size(); i++) {
                visit(node.get(i), list.getActualTypeArguments()[0], path + "[" + i + "]");
            }
        }
    }
}
