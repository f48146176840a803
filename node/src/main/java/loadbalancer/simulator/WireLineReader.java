package loadbalancer.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads the simulator's wire line by line. A line is a name and fields of the form key=value, separated by single
 * spaces. A line is parsed in place, and strings are created only on access, which keeps allocations low.
 */
final class WireLineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    private static final int INITIAL_FIELDS = 16;
    private static final int MAX_NUMBER_DIGITS = 18;
    private static final int ID_DIGITS = 16;

    private final InputStream input;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    /** The number of bytes in the buffer that hold input. */
    private int filled;

    private long lineNumber;
    private int lineStart;
    private int lineEnd;
    private int nameEnd;

    private int fieldCount;
    private int[] keyStart = new int[INITIAL_FIELDS];
    private int[] valueStart = new int[INITIAL_FIELDS];
    private int[] valueEnd = new int[INITIAL_FIELDS];

    WireLineReader(InputStream input) {
        this.input = input;
    }

    /** Moves to the next line; returns false at the end of the input. The last line may lack its line break. */
    boolean next() throws IOException {
        lineStart = lineNumber == 0 ? 0 : lineEnd + 1;
        lineNumber++;
        int at = lineStart;
        while (true) {
            while (at < filled && buffer[at] != '\n') {
                at++;
            }
            if (at < filled) {
                lineEnd = at;
                parseFields();
                return true;
            }
            at -= compactOrGrow();
            int read = input.read(buffer, filled, buffer.length - filled);
            if (read < 0) {
                return finishLastLine();
            }
            filled += read;
        }
    }

    /**
     * Moves to the next line of a batch.
     *
     * @throws WireException at the end of the input
     */
    void requireNext() throws IOException, WireException {
        if (!next()) {
            throw invalid("the input ends inside a batch");
        }
    }

    /** Moves the current line to the start of the buffer, grows a full buffer, and returns the distance moved. */
    private int compactOrGrow() {
        int moved = lineStart;
        if (moved > 0) {
            System.arraycopy(buffer, lineStart, buffer, 0, filled - lineStart);
            filled -= moved;
            lineStart = 0;
        }
        if (filled == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length);
        }
        return moved;
    }

    /** Ends the last line at the end of the input; false if it is empty. The buffer must have room for a line break. */
    private boolean finishLastLine() {
        lineEnd = filled;
        if (filled == lineStart) {
            return false;
        }
        parseFields();
        buffer[lineEnd] = '\n';
        filled = lineEnd + 1;
        return true;
    }

    private void parseFields() {
        int at = lineStart;
        while (at < lineEnd && buffer[at] != ' ') {
            at++;
        }
        nameEnd = at;
        fieldCount = 0;
        while (at < lineEnd) {
            int key = at + 1;
            int equals = key;
            while (equals < lineEnd && buffer[equals] != '=' && buffer[equals] != ' ') {
                equals++;
            }
            at = equals;
            while (at < lineEnd && buffer[at] != ' ') {
                at++;
            }
            addField(key, Math.min(equals + 1, at), at);
        }
    }

    private void addField(int key, int value, int end) {
        if (fieldCount == keyStart.length) {
            keyStart = Arrays.copyOf(keyStart, 2 * fieldCount);
            valueStart = Arrays.copyOf(valueStart, 2 * fieldCount);
            valueEnd = Arrays.copyOf(valueEnd, 2 * fieldCount);
        }
        keyStart[fieldCount] = key;
        valueStart[fieldCount] = value;
        valueEnd[fieldCount] = end;
        fieldCount++;
    }

    /** Returns the name of the current line: its first word. */
    String name() {
        return new String(buffer, lineStart, nameEnd - lineStart, StandardCharsets.UTF_8);
    }

    /** Returns whether the current line has the given name. */
    boolean isNamed(String name) {
        return matches(lineStart, nameEnd, name);
    }

    int fieldCount() {
        return fieldCount;
    }

    String key(int field) {
        int from = keyStart[field];
        return new String(buffer, from, Math.max(0, valueStart[field] - 1 - from), StandardCharsets.UTF_8);
    }

    String value(int field) {
        int from = valueStart[field];
        return new String(buffer, from, valueEnd[field] - from, StandardCharsets.UTF_8);
    }

    private boolean matches(int from, int to, String text) {
        if (to - from != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (buffer[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private int indexOf(String key) {
        for (int i = 0; i < fieldCount; i++) {
            if (valueStart[i] > keyStart[i] && matches(keyStart[i], valueStart[i] - 1, key)) {
                return i;
            }
        }
        return -1;
    }

    private int requiredIndex(String key) throws WireException {
        int field = indexOf(key);
        if (field < 0) {
            throw invalidField(key, "is missing");
        }
        return field;
    }

    /** Returns the text of a field; null if the field is missing. */
    String textOrNull(String key) {
        int field = indexOf(key);
        return field < 0 ? null : value(field);
    }

    /** Returns the text of a required field. */
    String requiredText(String key) throws WireException {
        return value(requiredIndex(key));
    }

    /** Returns a required field that is a whole number of up to 18 digits. */
    long requiredLong(String key) throws WireException {
        return parseLong(key, requiredIndex(key));
    }

    long longOrDefault(String key, long defaultValue) throws WireException {
        int field = indexOf(key);
        return field < 0 ? defaultValue : parseLong(key, field);
    }

    private long parseLong(String key, int field) throws WireException {
        int at = valueStart[field];
        int to = valueEnd[field];
        boolean negative = at < to && buffer[at] == '-';
        at += negative ? 1 : 0;
        if (at == to || to - at > MAX_NUMBER_DIGITS) {
            throw invalidField(key, "is not a whole number");
        }
        long value = 0;
        for (; at < to; at++) {
            int digit = buffer[at] - '0';
            if (digit < 0 || digit > 9) {
                throw invalidField(key, "is not a whole number");
            }
            value = 10 * value + digit;
        }
        return negative ? -value : value;
    }

    /** Returns a boolean field, whose value is 1, true, 0 or false; false if the field is missing. */
    boolean flag(String key) throws WireException {
        int field = indexOf(key);
        if (field < 0
                || matches(valueStart[field], valueEnd[field], "0")
                || matches(valueStart[field], valueEnd[field], "false")) {
            return false;
        }
        if (matches(valueStart[field], valueEnd[field], "1") || matches(valueStart[field], valueEnd[field], "true")) {
            return true;
        }
        throw invalidField(key, "is not one of 1, true, 0, false: " + value(field));
    }

    double doubleOrDefault(String key, double defaultValue) throws WireException {
        int field = indexOf(key);
        return field < 0 ? defaultValue : parseDouble(key, value(field));
    }

    private double parseDouble(String key, String text) throws WireException {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw invalidField(key, "is not a number");
        }
    }

    /** Returns a field of numbers separated by commas; null if the field is missing or empty. */
    double[] doublesOrNull(String key) throws WireException {
        int field = indexOf(key);
        if (field < 0 || valueStart[field] == valueEnd[field]) {
            return null;
        }
        String[] parts = value(field).split(",", -1);
        double[] values = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            values[i] = parseDouble(key, parts[i]);
        }
        return values;
    }

    /** Returns a required field that is a request id: 16 lower-case hexadecimal digits. */
    long requiredId(String key) throws WireException {
        int field = requiredIndex(key);
        if (valueEnd[field] - valueStart[field] != ID_DIGITS) {
            throw invalidField(key, "is not 16 lower-case hex digits");
        }
        long id = 0;
        for (int at = valueStart[field]; at < valueEnd[field]; at++) {
            int digit = hexDigit(buffer[at]);
            if (digit < 0) {
                throw invalidField(key, "is not 16 lower-case hex digits");
            }
            id = id << 4 | digit;
        }
        return id;
    }

    /** Returns the value of a lower-case hexadecimal digit; -1 for any other byte. */
    private static int hexDigit(byte b) {
        if (b >= '0' && b <= '9') {
            return b - '0';
        }
        return b >= 'a' && b <= 'f' ? b - 'a' + 10 : -1;
    }

    /** Returns an exception that reports an invalid field of the current line. */
    WireException invalidField(String field, String problem) {
        return new WireException("line " + lineNumber + ": " + name() + ": field " + field + " " + problem);
    }

    /** Returns an exception that reports an invalid line. */
    WireException invalid(String problem) {
        return new WireException("line " + lineNumber + ": " + problem);
    }
}
