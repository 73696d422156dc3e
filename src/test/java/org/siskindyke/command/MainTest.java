package org.siskindyke.command;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(Map<String, String> environment, String... arguments) {
        return Main.run(List.of(arguments), environment, new PrintStream(out), new PrintStream(err));
    }

    private void assertOneErrorLine(String code, String part) {
        String text = err.toString();
        assertEquals(1, text.lines().count(), text);
        assertTrue(text.startsWith(code + ": "), text);
        assertTrue(text.contains(part), text);
    }

    @Example
    void anUnknownCommandIsRefusedWithTheKnownOnes() {
        assertEquals(2, run(Map.of(), "rooter"));
        assertOneErrorLine("INVALID_SETTING", "router");
    }

    @Example
    void anUnknownFlagIsRefused() {
        assertEquals(2, run(Map.of(), "status", "--jsn"));
        assertOneErrorLine("INVALID_SETTING", "jsn");
    }

    @Example
    void aMissingFlagIsNamedWithItsEnvironmentVariable() {
        assertEquals(2, run(Map.of(), "router", "--instance", "a", "--failure-domain", "d"));
        assertOneErrorLine("INVALID_SETTING", "SISKINDYKE_TABLE");
    }

    @Example
    void anUnknownEnvironmentVariableIsRefused() {
        assertEquals(2, run(Map.of("SISKINDYKE_TABEL", "x"), "status"));
        assertOneErrorLine("INVALID_SETTING", "SISKINDYKE_TABEL");
    }

    @Example
    void aPortOutOfRangeIsRefused() {
        assertEquals(2, run(Map.of(), "standin", "table", "--port", "70000"));
        assertOneErrorLine("INVALID_SETTING", "65535");
    }

    @Example
    void anEnvironmentVariableSetsAFlag() {
        assertEquals(2, run(Map.of("SISKINDYKE_PORT", "many"), "standin", "table"));
        assertOneErrorLine("INVALID_SETTING", "many");
    }

    @Example
    void aDocumentIsCheckedWithoutARouter() {
        assertEquals(0, run(Map.of(), "document", "check", "examples/haat.yaml"));
        assertTrue(out.toString().startsWith("ok: service haat"), out.toString());
    }

    @Example
    void helpNamesEveryCommand() {
        assertEquals(0, run(Map.of(), "help"));
        for (String name : List.of("demo", "router", "document", "status", "standin table", "load", "trial")) {
            assertTrue(out.toString().contains(name), name);
        }
    }
}
