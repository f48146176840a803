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
 * Reads one table of a scenario file, key by key. Problems are collected, not thrown, so that all problems of a file
 * are reported at once. A value with a problem is replaced by a valid one.
 */
final class TableReader {
    /** Maximum edit distance from an unknown word to the one that is suggested for it. */
    private static final int MAX_EDITS = 3;

    private final String prefix;
    private final JsonNode table;
    private final List<String> problems;
    private final Set<String> knownKeys = new HashSet<>();

    TableReader(String prefix, JsonNode table, List<String> problems) {
        this.prefix = prefix;
        this.table = table.isObject() ? table : JsonNodeFactory.instance.objectNode();
        this.problems = problems;
        if (!table.isObject() && !table.isMissingNode()) {
            problems.add(prefix + " = " + table + ": must be a table");
        }
    }

    private JsonNode value(String key) {
        knownKeys.add(key);
        return table.path(key);
    }

    private String path(String key) {
        return prefix.isEmpty() ? key : prefix + "." + key;
    }

    private void addProblem(String key, JsonNode value, String allowed) {
        problems.add(path(key) + " = " + value + ": must be " + allowed);
    }

    /** Returns a number from min to max, both inclusive. */
    double number(String key, double defaultValue, double min, double max) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
            addProblem(key, value, "a number from " + format(min) + " to " + format(max));
            return defaultValue;
        }
        return value.asDouble();
    }

    /** Returns an integer from min to max, both inclusive. */
    int integer(String key, int defaultValue, int min, int max) {
        JsonNode value = value(key);
        if (!value.isMissingNode() && !value.isIntegralNumber()) {
            addProblem(key, value, "a whole number from " + min + " to " + max);
            return defaultValue;
        }
        return (int) number(key, defaultValue, min, max);
    }

    /** Returns a value in seconds as microseconds. */
    long seconds(String key, double defaultValue, double min, double max) {
        return Math.round(number(key, defaultValue, min, max) * 1e6);
    }

    /** Returns a value in milliseconds as microseconds. */
    long millis(String key, double defaultValue, double min, double max) {
        return Math.round(number(key, defaultValue, min, max) * 1e3);
    }

    boolean bool(String key, boolean defaultValue) {
        JsonNode value = value(key);
        if (!value.isMissingNode() && !value.isBoolean()) {
            addProblem(key, value, "true or false");
            return defaultValue;
        }
        return value.asBoolean(defaultValue);
    }

    /** Returns a string that is not blank. A default of null makes the key mandatory. */
    String string(String key, String defaultValue) {
        JsonNode value = value(key);
        if (value.isMissingNode() && defaultValue != null) {
            return defaultValue;
        }
        if (!value.isTextual() || value.asText().isBlank()) {
            problems.add(path(key) + (value.isMissingNode() ? " is missing" : " = " + value) + ": must be a string");
            return defaultValue == null ? "" : defaultValue;
        }
        return value.asText();
    }

    /** Returns one of the allowed strings. A default of null makes the key mandatory. */
    String choice(String key, String defaultValue, List<String> allowed) {
        String actual = string(key, defaultValue);
        if (!allowed.contains(actual)) {
            if (!value(key).isMissingNode() && value(key).isTextual()) {
                addProblem(key, value(key), "one of " + String.join(", ", allowed) + nearest(actual, allowed));
            }
            return allowed.get(0);
        }
        return actual;
    }

    List<String> strings(String key, List<String> defaultValue) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        List<String> words = new ArrayList<>();
        value.forEach(word -> words.add(word.asText()));
        if (!value.isArray() || words.isEmpty() || words.size() != new HashSet<>(words).size()) {
            addProblem(key, value, "a list of distinct strings");
            return defaultValue;
        }
        return words;
    }

    /**
     * Returns a list of numbers from min to max, both inclusive, or an empty list if the key is missing.
     *
     * @param size required number of elements, or -1 for any
     */
    List<Double> numbers(String key, int size, double min, double max) {
        JsonNode value = value(key);
        List<Double> numbers = new ArrayList<>();
        value.forEach(number -> numbers.add(number.isNumber() ? number.asDouble() : Double.NaN));
        boolean fits = value.isArray()
                && (size < 0 || numbers.size() == size)
                && numbers.stream().allMatch(number -> number >= min && number <= max);
        if (!value.isMissingNode() && !fits) {
            addProblem(
                    key,
                    value,
                    "a list of " + (size < 0 ? "" : size + " ") + "numbers from " + format(min) + " to " + format(max));
            return List.of();
        }
        return numbers;
    }

    /** Returns a list of integers, as {@link #numbers} does. */
    List<Integer> integers(String key, int size, int min, int max) {
        List<Double> numbers = numbers(key, size, min, max);
        if (numbers.stream().anyMatch(number -> number != Math.rint(number))) {
            addProblem(key, value(key), "a list of whole numbers");
            return List.of();
        }
        return numbers.stream().map(Double::intValue).toList();
    }

    TableReader table(String key) {
        return new TableReader(path(key), value(key), problems);
    }

    List<TableReader> tables(String key) {
        JsonNode value = value(key);
        List<TableReader> tables = new ArrayList<>();
        if (value.isObject()) {
            tables.add(new TableReader(path(key), value, problems));
        } else if (!value.isMissingNode() && !value.isArray()) {
            addProblem(key, value, "tables, each under [[" + path(key) + "]]");
        }
        for (int i = 0; value.isArray() && i < value.size(); i++) {
            tables.add(new TableReader(path(key) + "[" + i + "]", value.get(i), problems));
        }
        return tables;
    }

    void require(boolean condition, String message) {
        if (!condition) {
            problems.add(message);
        }
    }

    /** Reports keys that were not read as unknown. Call it after all keys have been read. */
    void reportUnknownKeys() {
        for (Iterator<String> keys = table.fieldNames(); keys.hasNext(); ) {
            String key = keys.next();
            if (!knownKeys.contains(key)) {
                problems.add(path(key) + " = " + table.get(key) + ": is not known" + nearest(key, knownKeys)
                        + "; keys here are "
                        + String.join(", ", knownKeys.stream().sorted().toList()));
            }
        }
    }

    private static String format(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : String.format(Locale.ROOT, "%s", number);
    }

    /** Returns a suggestion with the allowed word closest to an unknown one, or an empty string if none is close. */
    static String nearest(String actual, Iterable<String> words) {
        String best = null;
        int min = MAX_EDITS + 1;
        for (String word : words) {
            int edits = edits(actual, word);
            if (edits < min || edits == min && best != null && word.compareTo(best) < 0) {
                best = word;
                min = edits;
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
