package weldhitch.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import weldhitch.routeconfig.RouteConfig;
import weldhitch.routeconfig.RouteConfig.Explanation;

/**
 * Prints which route of a route configuration a request matches and the source of each of its rules. Exits with
 * status 1 if the file has errors.
 */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "Prints the route that a request matches, and where each rule of the route is set.")
final class ExplainCommand implements Callable<Integer> {
    @Mixin
    private RouteConfigOption input;

    @Option(names = "--method", defaultValue = "GET", description = "Method of the request, GET or POST; default: GET.")
    private String method;

    @Option(names = "--path", required = true, description = "Path of the request, for example /book/7/cancel.")
    private String path;

    @Option(names = "--class", description = "Class of the request; default: the first segment of the path.")
    private String requestClass;

    @Override
    public Integer call() {
        RouteConfig routeConfig = input.load();
        PrintWriter out = input.out();
        if (!routeConfig.isUsable()) {
            routeConfig.errors().forEach(out::println);
            out.flush();
            return 1;
        }
        String firstSegment = path.replaceFirst("^/", "").replaceFirst("[/?].*", "");
        Explanation explanation = routeConfig.explain(requestClass == null ? firstSegment : requestClass, method, path);
        if (input.json()) {
            ObjectNode root = JsonNodeFactory.instance.objectNode().put("route", explanation.route());
            ObjectNode rules = root.putObject("rules");
            explanation
                    .rules()
                    .forEach(rule -> rules.putObject(rule.key())
                            .put("value", rule.value())
                            .put("source", rule.source()));
            out.println(root.toPrettyString());
        } else {
            out.println("route: " + (explanation.route() == null ? "none" : explanation.route()));
            explanation
                    .rules()
                    .forEach(rule -> out.printf("  %-16s %-36s %s%n", rule.key(), rule.value(), rule.source()));
        }
        out.flush();
        return 0;
    }
}
