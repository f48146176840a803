package loadbalancer.harness.history;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event.Kind;
import loadbalancer.harness.time.Timeline;

/**
 * The history of one run. It passes each event to the readers as it happens, and writes it as one line of JSON to a
 * file, if there is one. Without a file, a thousand seeds need no disk space.
 */
public final class History {
    /** Maximum size of a history in bytes. A run that exceeds it fails, because a truncated history proves nothing. */
    public static final long MAX_BYTES = 1L << 30;

    /** Receives the events of a history in order. */
    public interface Reader {
        void read(Event event);
    }

    private static final JsonFactory JSON = new JsonFactory();

    private final Timeline time;
    private final List<? extends Reader> readers;
    private final OutputStream file;
    private final MessageDigest digest;
    private long bytes;
    private long events;

    /**
     * Creates an empty history.
     *
     * @param file receives the lines, or null; the caller closes it
     * @param withDigest whether to compute {@link #digest}, which takes as long as writing the lines
     */
    public History(Timeline time, List<? extends Reader> readers, OutputStream file, boolean withDigest) {
        this.time = time;
        this.readers = readers;
        this.file = file;
        try {
            digest = withDigest ? MessageDigest.getInstance("SHA-256") : null;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    /**
     * Adds an event that happens now.
     *
     * @param fields names and values of the fields, alternating
     */
    public void add(String process, Kind kind, Object... fields) {
        Map<String, Object> byName = new LinkedHashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            byName.put((String) fields[i], fields[i + 1]);
        }
        Event event = new Event(time.nowUs(), process, kind, byName);
        events++;
        if (file != null || digest != null) {
            write(line(event).getBytes(StandardCharsets.UTF_8));
        }
        for (Reader reader : readers) {
            reader.read(event);
        }
    }

    private void write(byte[] line) {
        bytes += line.length;
        if (bytes > MAX_BYTES) {
            throw new IllegalStateException("the history exceeds " + MAX_BYTES + " bytes");
        }
        if (digest != null) {
            digest.update(line);
        }
        try {
            if (file != null) {
                file.write(line);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the history", e);
        }
    }

    /** Returns the line of the history for an event, including the line break. */
    public static String line(Event event) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("us", event.atUs());
            json.writeStringField("by", event.process());
            json.writeStringField("what", event.kind().name());
            for (Map.Entry<String, Object> field : event.fields().entrySet()) {
                json.writeFieldName(field.getKey());
                Object value = field.getValue();
                if (value instanceof Boolean flag) {
                    json.writeBoolean(flag);
                } else if (value instanceof Double decimal) {
                    json.writeNumber(decimal);
                } else if (value instanceof Number integer) {
                    json.writeNumber(integer.longValue());
                } else {
                    json.writeString(String.valueOf(value));
                }
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        return text.append('\n').toString();
    }

    /** Reads a stored history and passes each event to the reader. */
    public static void read(InputStream from, Reader reader) throws IOException {
        try (JsonParser json = JSON.createParser(from)) {
            while (json.nextToken() == JsonToken.START_OBJECT) {
                reader.read(event(json));
            }
        }
    }

    private static Event event(JsonParser json) throws IOException {
        long atUs = 0;
        String process = "";
        Kind kind = null;
        Map<String, Object> fields = new LinkedHashMap<>();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken token = json.nextToken();
            switch (name) {
                case "us" -> atUs = json.getLongValue();
                case "by" -> process = json.getText();
                case "what" -> kind = Kind.valueOf(json.getText());
                default ->
                    fields.put(
                            name,
                            switch (token) {
                                case VALUE_TRUE -> true;
                                case VALUE_FALSE -> false;
                                case VALUE_NUMBER_INT -> json.getLongValue();
                                case VALUE_NUMBER_FLOAT -> json.getDoubleValue();
                                default -> json.getText();
                            });
            }
        }
        if (kind == null) {
            throw new IOException(
                    "event without a kind at " + json.currentLocation().offsetDescription());
        }
        return new Event(atUs, process, kind, fields);
    }

    public long events() {
        return events;
    }

    /**
     * Returns the SHA-256 over all lines so far in hexadecimal. Two runs have the same digest if their histories are
     * equal, byte for byte. Requires that the history was created with a digest.
     */
    public String digest() {
        try {
            return HexFormat.of().formatHex(((MessageDigest) digest.clone()).digest());
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("the JDK's SHA-256 can be cloned", e);
        }
    }
}
