package weldhitch.node;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * Flattens JSON values into pairs of a dotted path and a text. Arrays of scalars are joined by commas; the elements
 * of arrays of objects are numbered from 0 and counted. The length of paths and the number of values are limited, so
 * that memory stays in proportion to the file. Used by {@link NodeConfig} for one file; not thread-safe.
 */
final class ConfigFlattener {
    private static final int MAX_PATH_LENGTH = 256;
    private static final int MAX_VALUES = 100_000;

    private final Map<String, String> valueByPath = new HashMap<>();

    /** Returns the pairs added so far; the caller may change them. */
    Map<String, String> values() {
        return valueByPath;
    }

    /**
     * Adds the parser's current value, which is at {@code path}, to the pairs.
     *
     * @throws IOException if the text is malformed or exceeds a limit; the message names the path
     */
    void flatten(JsonParser parser, String path) throws IOException {
        if (path.length() > MAX_PATH_LENGTH) {
            throw new JsonParseException(
                    parser,
                    path.substring(0, MAX_PATH_LENGTH) + "...: found a path of " + path.length()
                            + " characters, expected at most " + MAX_PATH_LENGTH);
        }
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    flatten(parser, path + "." + name);
                }
            }
            case START_ARRAY -> flattenArray(parser, path);
            case VALUE_NULL -> {}
            default -> put(parser, path, parser.getText());
        }
    }

    private void flattenArray(JsonParser parser, String path) throws IOException {
        StringBuilder joined = new StringBuilder();
        int count = 0;
        boolean containsObjects = false;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken().isScalarValue()) {
                joined.append(count == 0 ? "" : ",").append(parser.getText().replace(',', '_'));
            } else {
                containsObjects = true;
                flatten(parser, path + "." + count);
            }
            count++;
        }
        if (containsObjects) {
            put(parser, path + ".count", Integer.toString(count));
        } else {
            put(parser, path, joined.toString());
        }
    }

    private void put(JsonParser parser, String path, String value) throws IOException {
        if (valueByPath.size() >= MAX_VALUES) {
            throw new JsonParseException(
                    parser, path + ": found more than " + MAX_VALUES + " values, expected at most " + MAX_VALUES);
        }
        valueByPath.put(path, value);
    }
}
