package weldhitch.node;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;

/**
 * Flattens a JSON value into pairs of a dotted path and a text. Arrays of scalars are joined by commas; the elements
 * of arrays of objects are numbered from 0 and counted. Used by {@link NodeConfig}; stateless.
 */
final class ConfigFlattener {
    private ConfigFlattener() {}

    /** Adds the parser's current value, which is at {@code path}, to the pairs. */
    static void flatten(JsonParser parser, String path, Map<String, String> flat) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    flatten(parser, path + "." + name, flat);
                }
            }
            case START_ARRAY -> flattenArray(parser, path, flat);
            case VALUE_NULL -> {}
            default -> flat.put(path, parser.getText());
        }
    }

    private static void flattenArray(JsonParser parser, String path, Map<String, String> flat) throws IOException {
        StringBuilder joined = new StringBuilder();
        int count = 0;
        boolean containsObjects = false;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken().isScalarValue()) {
                joined.append(count == 0 ? "" : ",").append(parser.getText().replace(',', '_'));
            } else {
                containsObjects = true;
                flatten(parser, path + "." + count, flat);
            }
            count++;
        }
        if (containsObjects) {
            flat.put(path + ".count", Integer.toString(count));
        } else {
            flat.put(path, joined.toString());
        }
    }
}
