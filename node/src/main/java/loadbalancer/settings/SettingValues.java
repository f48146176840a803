package loadbalancer.settings;

import java.util.Map;

/**
 * Typed access to settings that are strings by dotted name. A list of values is one string, separated by commas. The
 * objects of a list are numbered from 0, and the setting {@code count} of the list holds their number.
 */
final class SettingValues {
    private static final String COUNT = ".count";
    private static final String[] EMPTY_LIST = {};

    private final Map<String, String> values;

    SettingValues(Map<String, String> values) {
        this.values = values;
    }

    /** Returns the prefix of the setting names of an object in a list. */
    static String prefix(String list, int index) {
        return list + "." + index + ".";
    }

    /** Returns the number of objects in a list; 0 if its count is missing. */
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

    /** Returns a boolean setting, whose value is 1, true, 0 or false; false if the setting is missing. */
    boolean flag(String name) throws InvalidSettingException {
        String value = values.getOrDefault(name, "false");
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw new InvalidSettingException(name, "is not one of 1, true, 0, false: " + value);
        };
    }

    long requiredPositiveLong(String name) throws InvalidSettingException {
        double value = requiredDouble(name);
        if (value < 1 || value != Math.rint(value)) {
            throw new InvalidSettingException(name, "is not a positive integer: " + required(name));
        }
        return (long) value;
    }

    /** Returns a number setting as a whole number; a fraction is truncated. */
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
            // Reported below, as is a number that is not finite.
        }
        throw new InvalidSettingException(name, "is not a number: " + text);
    }
}
