package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The coordinators of one fleet, as processes, with the settings that the page on route versions shows. */
final class Coordinators {
    private final Lab lab;
    private final List<Integer> ports = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();

    Coordinators(Lab lab, int count) throws IOException {
        this.lab = lab;
        for (int i = 0; i < count; i++) {
            ports.add(Lab.freePort());
        }
        StringBuilder all = new StringBuilder("[stewards]\n");
        for (int i = 0; i < count; i++) {
            all.append("s" + (i + 1) + " = \"127.0.0.1:" + ports.get(i) + "\"\n");
        }
        for (int i = 0; i < count; i++) {
            Files.writeString(
                    config(i),
                    "version = 1\nname = \"s" + (i + 1) + "\"\ncluster = \"kigali\"\nlisten = \"127.0.0.1:"
                            + ports.get(i) + "\"\ndirectory = \"" + directory(i) + "\"\n" + all);
            processes.add(lab.startCoordinator("s" + (i + 1), config(i)));
        }
    }

    private Path config(int index) {
        return lab.folder.resolve("s" + (index + 1) + ".toml");
    }

    Path directory(int index) {
        return lab.folder.resolve("s" + (index + 1));
    }

    void restart(int index) throws IOException {
        processes.set(index, lab.startCoordinator("s" + (index + 1), config(index)));
    }

    Process process(int index) {
        return processes.get(index);
    }

    int count() {
        return ports.size();
    }

    /** Writes the route configuration of a node that takes part. */
    Path operatorFile(String extra) throws IOException {
        StringBuilder addresses = new StringBuilder();
        for (int port : ports) {
            addresses.append(addresses.length() == 0 ? "" : ", ").append("\"127.0.0.1:" + port + "\"");
        }
        Path file = lab.folder.resolve("operator.toml");
        Files.writeString(
                file,
                "version = 1\n[fleet]\ncluster = \"kigali\"\nstewards = [" + addresses + "]\ntell-version = true\n"
                        + extra + "# end\n");
        return file;
    }

    /** Returns the state of a coordinator as it tells it; empty if it does not answer. */
    String state(int index) {
        String[] answer = Lab.get("http://127.0.0.1:" + ports.get(index) + "/v1/state", 1500);
        return answer[0].equals("200") ? answer[1] : "";
    }

    /** Returns the index of the leader; -1 if there is none. */
    int leader() {
        for (int i = 0; i < count(); i++) {
            if (state(i).contains("\"leads\":true")) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the members as the leader tells them; null without a leader. */
    String roster() {
        int leader = leader();
        return leader < 0 ? null : field(state(leader), "roster\":(\\[[^]]*])");
    }

    /** Returns the number of the active version as the leader tells it; -1 without a leader. */
    int activeVersion() {
        int leader = leader();
        String number = leader < 0 ? null : field(state(leader), "inForce\":\\{\"number\":(\\d+)");
        return number == null ? -1 : Integer.parseInt(number);
    }

    private static String field(String state, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(state);
        return matcher.find() ? matcher.group(1) : null;
    }

    /** Submits a file as the page says: written beside, then renamed into the directory {@code versions}. */
    void submit(int index, String name, String text) throws IOException {
        Path draft = lab.folder.resolve(name + ".draft");
        Files.writeString(draft, text);
        Files.move(draft, directory(index).resolve("versions").resolve(name), StandardCopyOption.ATOMIC_MOVE);
        lab.note("submitted " + name + " at s" + (index + 1));
    }
}
