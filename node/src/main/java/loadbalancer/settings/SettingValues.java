package loadbalancer.settings;

import java.util.Map;

/**
 * Settings as text, by dotted names, with typed access. A list of values is one text with commas; a list of objects has
 * a setting {@code count}, and its objects are numbered from 0.
 */
final class SettingValues {
    private static final String COUNT = ".count";
    private static final String[] EMPTY_LIST = {};

    private final Map<String, String> values;

    SettingValues(Map<String, String> values) {
        this.values = values;
    }

    /** The prefix of the names of one object of a list. */
    static String prefix(String list, int index) {
        return list + "." + index + ".";
    }

    /** How many objects a list has. */
    int count(String list) throws InvalidSettingException {
        return (int) longOrDefault(list + COUNT, 0);
    }

    boolean has(String name) {
        return values.containsKey(name);
    }

    String required(String name) throws InvalidSettingException {
        String value = values.get(name);
        if (value == null) {
            throw new InvalidSettingException(name, "is missing");
        }
        return value;
    }

    String textOrDefault(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    String[] list(String name) {
        String value = values.getOrDefault(name, "");
        return value.isEmpty() ? EMPTY_LIST : value.split(",");
    }

    /** False if the setting is missing. */
    boolean flag(String name) throws InvalidSettingException {
        String value = values.getOrDefault(name, "false");
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw new InvalidSettingException(name, "is neither true nor false: " + value);
        };
    }

    long requiredPositiveLong(String name) throws InvalidSettingException {
        double value = requiredDouble(name);
        if (value < 1 || value != Math.rint(value)) {
            throw new InvalidSettingException(name, "is not positive and whole: " + required(name));
        }
        return (long) value;
    }

    /** A fraction is cut off. */
    long requiredLong(String name) throws InvalidSettingException {
        return (long) requiredDouble(name);
    }

    long longOrDefault(String name, long defaultValue) throws InvalidSettingException {
        return has(name) ? requiredLong(name) : defaultValue;
    }

    double doubleOrDefault(String name, double defaultValue) throws InvalidSettingException {
        return has(name) ? requiredDouble(name) : defaultValue;
    }

    private double requiredDouble(String name) throws InvalidSettingException {
        String text = required(name);
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number that is not finite.
        }
        throw new InvalidSettingException(name, "is not a number: " + text);
    }
}
