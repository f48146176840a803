package loadbalancer.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** A configuration file that is parsed as JSON. Only the presence of the settings object is validated. */
final class ConfigFile {
    private static final String COUNT = "count";

    private final JsonNode root;

    private ConfigFile(JsonNode root) {
        this.root = root;
    }

    /**
     * Reads the file at the given path.
     *
     * @throws ConfigException if the path is empty, the file cannot be read or is not JSON, or the settings object is
     *     missing
     */
    static ConfigFile read(String path) throws ConfigException {
        JsonNode root = parse(path);
        if (!root.isObject() || !root.path(ConfigNames.SETTINGS).isObject()) {
            throw new ConfigException(ConfigNames.SETTINGS, "is missing or not an object");
        }
        return new ConfigFile(root);
    }

    private static JsonNode parse(String path) throws ConfigException {
        if (path.isEmpty()) {
            throw new ConfigException(ConfigNames.ENV_FILE, "is not set");
        }
        try {
            JsonNode root = new ObjectMapper().readTree(new File(path));
            if (root.isMissingNode()) {
                throw new ConfigException(ConfigNames.ENV_FILE, "is empty");
            }
            return root;
        } catch (JsonProcessingException e) {
            throw new ConfigException(ConfigNames.ENV_FILE, "is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new ConfigException(ConfigNames.ENV_FILE, "cannot be read: " + e.getMessage());
        }
    }

    /** Returns the value of a top-level key; a missing node if the key does not exist. */
    JsonNode value(String key) {
        return root.path(key);
    }

    /** Returns whether the file has a top-level key with a value other than null. */
    boolean has(String key) {
        return root.hasNonNull(key);
    }

    /** Returns the text of a top-level key; empty if the key does not exist. */
    String text(String key) {
        return root.path(key).asText();
    }

    /**
     * Returns the settings by dotted name, in the form of the simulator's wire: the objects of a list are numbered from
     * 0, and the key {@code count} holds their number. The values of other lists are joined by commas.
     */
    Map<String, String> flattenedSettings() {
        Map<String, String> flattened = new HashMap<>();
        flatten("", root.get(ConfigNames.SETTINGS), flattened);
        return flattened;
    }

    private static void flatten(String path, JsonNode node, Map<String, String> flattened) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (node.isObject()) {
            for (Map.Entry<String, JsonNode> field : node.properties()) {
                flatten(prefix + field.getKey(), field.getValue(), flattened);
            }
        } else if (isListOfObjects(node)) {
            flattened.put(prefix + COUNT, Integer.toString(node.size()));
            for (int index = 0; index < node.size(); index++) {
                flatten(prefix + index, node.get(index), flattened);
            }
        } else if (node.isArray()) {
            flattened.put(path, joinedByCommas(node));
        } else if (!node.isNull()) {
            flattened.put(path, node.asText());
        }
    }

    private static boolean isListOfObjects(JsonNode node) {
        return node.isArray() && node.path(0).isObject();
    }

    private static String joinedByCommas(JsonNode list) {
        StringBuilder joined = new StringBuilder();
        for (JsonNode value : list) {
            if (!joined.isEmpty()) {
                joined.append(',');
            }
            joined.append(value.asText());
        }
        return joined.toString();
    }

    /**
     * Returns the dotted names of all keys in the file whose value is not null. For a list of objects, only the keys
     * that all of its objects have are included. The endpoint list is excluded: it is used at startup only, and its
     * entries change over time.
     */
    Set<String> keys() {
        Set<String> keys = keys(root, "");
        keys.removeIf(key -> key.equals(ConfigNames.ENDPOINTS) || key.startsWith(ConfigNames.ENDPOINTS + "."));
        return keys;
    }

    private static Set<String> keys(JsonNode object, String prefix) {
        Set<String> keys = new TreeSet<>();
        for (Map.Entry<String, JsonNode> field : object.properties()) {
            String name = prefix + field.getKey();
            JsonNode value = field.getValue();
            if (!value.isNull()) {
                keys.add(name);
            }
            if (value.isObject()) {
                keys.addAll(keys(value, name + "."));
            } else if (isListOfObjects(value)) {
                keys.addAll(commonKeys(value, name + "[]."));
            }
        }
        return keys;
    }

    private static Set<String> commonKeys(JsonNode objects, String prefix) {
        Set<String> common = keys(objects.get(0), prefix);
        for (JsonNode object : objects) {
            common.retainAll(keys(object, prefix));
        }
        return common;
    }
}
