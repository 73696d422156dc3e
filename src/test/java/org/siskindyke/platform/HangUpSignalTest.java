package org.siskindyke.platform;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.siskindyke.trial.ProcessControl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Sends SIGHUP to a process of the router that has only just started. */
class HangUpSignalTest {
    private static final int EXIT_BAD_USAGE = 2;
    private static final long TIMEOUT_SECONDS = 30;
    private static final String SETTINGS_VARIABLE = "SISKINDYKE_NODE_FILE";

    /** Guards against a router that ends by itself, since the platform reports changed settings while it reads them. */
    @Example
    void aSignalWhileTheSettingsAreReadDoesNotEndTheProcess() throws Exception {
        Path directory = Files.createTempDirectory("hang-up");
        Path settings = directory.resolve("settings");
        assertEquals(
                0, new ProcessBuilder("mkfifo", settings.toString()).start().waitFor());
        ProcessBuilder builder = router(List.of());
        builder.environment().put(SETTINGS_VARIABLE, settings.toString());
        Process process = builder.start();
        try {
            // Opening the pipe waits until the router opens it to read its settings.
            try (var pipe = Files.newOutputStream(settings)) {
                new ProcessControl(process, TIMEOUT_SECONDS).hangUp();
                pipe.write("no settings".getBytes(StandardCharsets.UTF_8));
            }
            assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(EXIT_BAD_USAGE, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against classes that are loaded before the signal is ignored, and lengthen the time in which it kills. */
    @Example
    void theSignalIsIgnoredBeforeTheRouterLoadsAnyOtherClass() throws Exception {
        Path loaded = Files.createTempDirectory("hang-up").resolve("classes");
        ProcessBuilder builder = router(List.of("-Xlog:class+load:file=" + loaded + "::filecount=0"));
        builder.environment().remove(SETTINGS_VARIABLE);
        Process process = builder.start();
        assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        List<String> classes = Files.readAllLines(loaded);
        int ignored = indexOf(classes, "sun.misc.Signal ");
        List<String> before = classes.subList(0, ignored).stream()
                .filter(line -> line.contains(" org.siskindyke.") || line.contains(" io.netty."))
                .filter(line -> !line.contains(PlatformMain.class.getName() + " "))
                .toList();
        assertEquals(List.of(), before);
    }

    private static int indexOf(List<String> lines, String part) {
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i).contains(part)) {
                return i;
            }
        }
        throw new AssertionError(part + "is not among " + lines.size() + " loaded classes");
    }

    private static ProcessBuilder router(List<String> options) {
        List<String> command = new ArrayList<>();
        command.add(new File(System.getProperty("java.home"), "bin/java").getPath());
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), PlatformMain.class.getName()));
        return new ProcessBuilder(command)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD);
    }
}
