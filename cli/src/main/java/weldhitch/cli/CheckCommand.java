package weldhitch.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import weldhitch.routeconfig.ConfigProblem;
import weldhitch.routeconfig.RouteConfig;

/** Prints all problems of a route configuration. Exits with status 0 if a node would load the file, 1 otherwise. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks a route configuration file. Exits with status 0 if a node would load it, 1 otherwise.")
final class CheckCommand implements Callable<Integer> {
    @Mixin
    private RouteConfigOption input;

    @Override
    public Integer call() {
        RouteConfig routeConfig = input.load();
        PrintWriter out = input.out();
        if (input.json()) {
            out.println(toJson(routeConfig).toPrettyString());
        } else {
            routeConfig.problems().forEach(out::println);
            out.println(input.fileName() + ": "
                    + (routeConfig.isUsable()
                            ? "valid, " + routeConfig.routeTable().routes().size() + " routes"
                            : routeConfig.errorCount() + (routeConfig.errorCount() == 1 ? " error" : " errors"))
                    + (input.hasPlatform() ? "" : " (not checked against a node configuration; see --config)"));
        }
        out.flush();
        return routeConfig.isUsable() ? 0 : 1;
    }

    private ObjectNode toJson(RouteConfig routeConfig) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("file", input.fileName())
                .put("usable", routeConfig.isUsable())
                .put("platformKnown", input.hasPlatform());
        ArrayNode problems = root.putArray("problems");
        for (ConfigProblem problem : routeConfig.problems()) {
            problems.addObject()
                    .put("line", problem.line())
                    .put("key", problem.key())
                    .put("what", problem.description())
                    .put("instead", problem.remedy())
                    .put("severity", problem.warning() ? "warning" : "error");
        }
        return root;
    }
}
