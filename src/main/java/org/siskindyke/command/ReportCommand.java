package org.siskindyke.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.report.HtmlReport;

/** Writes a page with charts of trials. */
@AutoService(Command.class)
public final class ReportCommand implements Command {
    @Override
    public String name() {
        return "report";
    }

    @Override
    public String summary() {
        return "writes one HTML page that compares trials side by side, with charts over time";
    }

    @Override
    public Flags flags() {
        return new Flags().operands("DIR...").optional("out", "report.html", "HTML file to write");
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) {
        System.setProperty("java.awt.headless", "true");
        List<Path> directories = settings.operands().stream().map(Path::of).toList();
        if (directories.isEmpty()) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_SETTING, "no directory given; pass the --out directory of at least one trial");
        }
        Path file = Path.of(settings.text("out"));
        HtmlReport.write(directories, file);
        out.println("wrote " + file);
        return 0;
    }
}
