package loadbalancer.harness.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * One table of a scenario file, read key by key. Problems are collected and not thrown, so that all problems
 * of a file are reported at once.
 */
final class Fields {
    /** A key this many edits off a known one is taken for it misspelt. */
    private static final int NEAR = 3;

    private final String at;
    private final JsonNode table;
    private final List<String> problems;
    private final Set<String> known = new HashSet<>();

    Fields(String at, JsonNode table, List<String> problems) {
        this.at = at;
        this.table = table.isObject() ? table : JsonNodeFactory.instance.objectNode();
        this.problems = problems;
        if (!table.isObject() && !table.isMissingNode()) {
            problems.add(at + " = " + table + ": must be a table");
        }
    }

    private JsonNode value(String key) {
        known.add(key);
        return table.path(key);
    }

    private String path(String key) {
        return at.isEmpty() ? key : at + "." + key;
    }

    private void problem(String key, JsonNode value, String allowed) {
        problems.add(path(key) + " = " + value + ": must be " + allowed);
    }

    /** A number from least to most, both included. */
    double number(String key, double orElse, double least, double most) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return orElse;
        }
        if (!value.isNumber() || !(value.asDouble() >= least && value.asDouble() <= most)) {
            problem(key, value, "a number from " + plain(least) + " to " + plain(most));
            return orElse;
        }
        return value.asDouble();
    }

    /** The same for whole numbers. */
    int count(String key, int orElse, int least, int most) {
        JsonNode value = value(key);
        if (!value.isMissingNode() && !value.isIntegralNumber()) {
            problem(key, value, "a whole number from " + least + " to " + most);
            return orElse;
        }
        return (int) number(key, orElse, least, most);
    }

    /** Seconds in the file, microseconds here. */
    long seconds(String key, double orElse, double least, double most) {
        return Math.round(number(key, orElse, least, most) * 1e6);
    }

    /** Milliseconds in the file, microseconds here. */
    long millis(String key, double orElse, double least, double most) {
        return Math.round(number(key, orElse, least, most) * 1e3);
    }

    boolean yes(String key, boolean orElse) {
        JsonNode value = value(key);
        if (!value.isMissingNode() && !value.isBoolean()) {
            problem(key, value, "true or false");
            return orElse;
        }
        return value.asBoolean(orElse);
    }

    /** A text, any but an empty one. */
    String text(String key, String orElse) {
        JsonNode value = value(key);
        if (value.isMissingNode() && orElse != null) {
            return orElse;
        }
        if (!value.isTextual() || value.asText().isBlank()) {
            problems.add(path(key) + (value.isMissingNode() ? " is missing" : " = " + value) + ": must be a text");
            return orElse == null ? "" : orElse;
        }
        return value.asText();
    }

    /** One of several words. */
    String word(String key, String orElse, List<String> allowed) {
        String given = text(key, orElse);
        if (!allowed.contains(given)) {
            if (!value(key).isMissingNode() && value(key).isTextual()) {
                problem(key, value(key), "one of " + String.join(", ", allowed) + nearest(given, allowed));
            }
            return allowed.get(0);
        }
        return given;
    }

    List<String> words(String key, List<String> orElse) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return orElse;
        }
        List<String> words = new ArrayList<>();
        value.forEach(word -> words.add(word.asText()));
        if (!value.isArray() || words.isEmpty() || words.size() != new HashSet<>(words).size()) {
            problem(key, value, "a list of different texts");
            return orElse;
        }
        return words;
    }

    /** Numbers from least to most; as many as wanted, or none where left out. */
    List<Double> numbers(String key, int wanted, double least, double most) {
        JsonNode value = value(key);
        List<Double> numbers = new ArrayList<>();
        value.forEach(number -> numbers.add(number.isNumber() ? number.asDouble() : Double.NaN));
        boolean fits = value.isArray()
                && (wanted < 0 || numbers.size() == wanted)
                && numbers.stream().allMatch(number -> number >= least && number <= most);
        if (!value.isMissingNode() && !fits) {
            problem(
                    key,
                    value,
                    "a list of " + (wanted < 0 ? "" : wanted + " ") + "numbers from " + plain(least) + " to "
                            + plain(most));
            return List.of();
        }
        return numbers;
    }

    /** The same for whole numbers. */
    List<Integer> counts(String key, int wanted, int least, int most) {
        List<Double> numbers = numbers(key, wanted, least, most);
        if (numbers.stream().anyMatch(number -> number != Math.rint(number))) {
            problem(key, value(key), "a list of whole numbers");
            return List.of();
        }
        return numbers.stream().map(Double::intValue).toList();
    }

    Fields table(String key) {
        return new Fields(path(key), value(key), problems);
    }

    List<Fields> tables(String key) {
        JsonNode value = value(key);
        List<Fields> tables = new ArrayList<>();
        if (value.isObject()) {
            tables.add(new Fields(path(key), value, problems));
        } else if (!value.isMissingNode() && !value.isArray()) {
            problem(key, value, "tables, each under [[" + path(key) + "]]");
        }
        for (int i = 0; value.isArray() && i < value.size(); i++) {
            tables.add(new Fields(path(key) + "[" + i + "]", value.get(i), problems));
        }
        return tables;
    }

    void require(boolean holds, String otherwise) {
        if (!holds) {
            problems.add(otherwise);
        }
    }

    /** To be called once all keys are read: what is left is not known. */
    void end() {
        for (Iterator<String> keys = table.fieldNames(); keys.hasNext(); ) {
            String key = keys.next();
            if (!known.contains(key)) {
                problems.add(
                        path(key) + " = " + table.get(key) + ": is not known" + nearest(key, known) + "; keys here are "
                                + String.join(", ", known.stream().sorted().toList()));
            }
        }
    }

    private static String plain(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : String.format(Locale.ROOT, "%s", number);
    }

    /**
     * The one of several words that a wrong one may have been meant for, as a question; empty if none is
     * near.
     */
    static String nearest(String given, Iterable<String> words) {
        String best = null;
        int least = NEAR + 1;
        for (String word : words) {
            int edits = edits(given, word);
            if (edits < least || edits == least && best != null && word.compareTo(best) < 0) {
                best = word;
                least = edits;
            }
        }
        return best == null ? "" : " (meant: " + best + "?)";
    }

    private static int edits(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int changed = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(changed, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }
}
