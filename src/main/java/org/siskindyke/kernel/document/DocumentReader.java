package org.siskindyke.kernel.document;

import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.siskindyke.kernel.error.SiskindykeException;

/** Parses service documents strictly from YAML or JSON; each reported problem names the field, the line and a fix. */
public final class DocumentReader {
    /** Maximum length of a document, in characters. */
    public static final int MAX_CHARACTERS = 256 * 1024;

    private static final int MAX_NESTING_DEPTH = 16;
    private static final YAMLFactory FACTORY = YAMLFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .maxDocumentLength(MAX_CHARACTERS)
                    .build())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    private static final ObjectMapper YAML = YAMLMapper.builder(FACTORY)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .build();
    private static final ObjectMapper JSON = JsonMapper.builder().build();

    private DocumentReader() {}

    /**
     * Parses and validates a document.
     *
     * @param text YAML or JSON
     * @return the document
     * @throws InvalidDocumentException if the document is invalid; lists the problems found
     */
    public static ServiceDocument read(String text) {
        if (text.length() > MAX_CHARACTERS) {
            throw new InvalidDocumentException(List.of(new DocumentProblem(
                    "document", 1, "longer than " + MAX_CHARACTERS + " characters", "split the service")));
        }
        ServiceDocument document = parse(text);
        List<DocumentProblem> problems = DocumentValidator.validate(document);
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(withLines(problems, linesByPath(text)));
        }
        return document;
    }

    /**
     * Serializes a document as JSON text that {@link #read} accepts.
     *
     * @param document the document
     * @return JSON text
     */
    public static String write(ServiceDocument document) {
        try {
            return JSON.writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a document", e);
        }
    }

    private static ServiceDocument parse(String text) {
        try {
            JsonNode tree = YAML.readTree(text);
            List<DocumentProblem> unknown = UnknownFields.find(tree, ServiceDocument.class);
            if (!unknown.isEmpty()) {
                throw new InvalidDocumentException(withLines(unknown, linesByPath(text)));
            }
            ServiceDocument document = YAML.readValue(text, ServiceDocument.class);
            if (document == null) {
                throw new InvalidDocumentException(
                        List.of(new DocumentProblem("document", 1, "is empty", "describe a service")));
            }
            return document;
        } catch (MismatchedInputException e) {
            throw problem(e, path(e), firstLine(e), "give " + expected(e));
        } catch (JsonMappingException e) {
            throw problem(e, path(e), causeMessage(e), "correct the value");
        } catch (JsonProcessingException e) {
            throw problem(e, "document", firstLine(e), "write valid YAML or JSON");
        }
    }

    private static InvalidDocumentException problem(
            JsonProcessingException e, String path, String message, String fix) {
        int line = e.getLocation() == null ? 0 : Math.max(0, e.getLocation().getLineNr());
        return new InvalidDocumentException(List.of(new DocumentProblem(path, line, message, fix)));
    }

    private static String causeMessage(JsonMappingException e) {
        return e.getCause() instanceof SiskindykeException cause ? cause.getMessage() : firstLine(e);
    }

    private static String firstLine(JsonProcessingException e) {
        return e.getOriginalMessage().lines().findFirst().orElse("is malformed");
    }

    private static String expected(MismatchedInputException e) {
        Class<?> type = e.getTargetType();
        if (type == null) {
            return "a value of the declared type";
        }
        if (type == long.class || type == int.class || type == Long.class || type == Integer.class) {
            return "a whole number without a unit; the unit is part of the field name";
        }
        return "a value of type " + type.getSimpleName();
    }

    private static String path(JsonMappingException e) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference reference : e.getPath()) {
            if (reference.getFieldName() == null) {
                path.append('[').append(reference.getIndex()).append(']');
            } else {
                path.append(path.isEmpty() ? "" : ".").append(reference.getFieldName());
            }
        }
        return path.isEmpty() ? "document" : path.toString();
    }

    private static List<DocumentProblem> withLines(List<DocumentProblem> problems, Map<String, Integer> lines) {
        return problems.stream()
                .map(p -> new DocumentProblem(p.path(), nearestLine(p.path(), lines), p.message(), p.fix()))
                .sorted(Comparator.comparingInt(DocumentProblem::line))
                .toList();
    }

    private static int nearestLine(String path, Map<String, Integer> lines) {
        String pointer = "/" + path.replace("[", "/").replace("]", "").replace(".", "/");
        while (!pointer.isEmpty() && !lines.containsKey(pointer)) {
            pointer = pointer.substring(0, pointer.lastIndexOf('/'));
        }
        return lines.getOrDefault(pointer, 1);
    }

    private static Map<String, Integer> linesByPath(String text) {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = FACTORY.createParser(text)) {
            while (parser.nextToken() != null) {
                String pointer = parser.getParsingContext().pathAsPointer().toString();
                lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot find the line numbers of a document that was parsed before", e);
        }
        return lines;
    }
}
