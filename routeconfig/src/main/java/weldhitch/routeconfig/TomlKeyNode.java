package weldhitch.routeconfig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A key of a TOML document with its line, its child keys and, if it is an array, its elements. A key that contains dots
 * stands for one node per part, so that a path has the same node however its keys are quoted. Built by {@link
 * TomlLineIndex}; not thread-safe.
 */
final class TomlKeyNode {
    private final int line;
    private Map<String, TomlKeyNode> childByName;
    private List<TomlKeyNode> elements;

    /** Creates a node without children for a key on this line. */
    TomlKeyNode(int line) {
        this.line = line;
    }

    int line() {
        return line;
    }

    /** Returns whether a child of this name exists. */
    boolean hasChild(String name) {
        return find(name) != null;
    }

    /** Returns the child of this name; adds it with this line if it does not exist. */
    TomlKeyNode childOrNew(String name, int lineOfName) {
        TomlKeyNode node = this;
        int start = 0;
        for (int end = name.indexOf('.'); end >= 0; end = name.indexOf('.', start)) {
            node = node.directChildOrNew(name.substring(start, end), lineOfName);
            start = end + 1;
        }
        return node.directChildOrNew(name.substring(start), lineOfName);
    }

    private TomlKeyNode directChildOrNew(String name, int lineOfName) {
        if (childByName == null) {
            childByName = new HashMap<>();
        }
        return childByName.computeIfAbsent(name, absent -> new TomlKeyNode(lineOfName));
    }

    /** Appends an array element. */
    void addElement(TomlKeyNode element) {
        if (elements == null) {
            elements = new ArrayList<>();
        }
        elements.add(element);
    }

    /** Returns the last array element; null if there is none. */
    TomlKeyNode lastElement() {
        return elements == null ? null : elements.get(elements.size() - 1);
    }

    /** Returns the node of a path such as {@code route[0].deadline}, relative to this node; null if there is none. */
    TomlKeyNode find(String path) {
        TomlKeyNode node = this;
        int start = 0;
        while (node != null && start <= path.length()) {
            int end = endOfPart(path, start);
            node = node.directChild(path.substring(start, end));
            while (node != null && end < path.length() && path.charAt(end) == '[') {
                int closing = path.indexOf(']', end);
                node = closing < 0 ? null : node.element(path.substring(end + 1, closing));
                end = closing + 1;
            }
            start = end + 1;
        }
        return node;
    }

    private static int endOfPart(String path, int start) {
        int end = start;
        while (end < path.length() && path.charAt(end) != '.' && path.charAt(end) != '[') {
            end++;
        }
        return end;
    }

    private TomlKeyNode directChild(String name) {
        return childByName == null ? null : childByName.get(name);
    }

    private TomlKeyNode element(String index) {
        try {
            int position = Integer.parseInt(index);
            return elements == null || position < 0 || position >= elements.size() ? null : elements.get(position);
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
