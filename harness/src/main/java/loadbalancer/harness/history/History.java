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
 * What happened in one run, a line of JSON each, passed to the referee as it happens. Without a file to go to
 * it is only passed on and summed up, so that a thousand seeds need no disk.
 */
public final class History {
    /** Most bytes of a history; a run that has more fails, as a cut history proves nothing. */
    public static final long MAX_BYTES = 1L << 30;

    /** Whoever reads along. */
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
     * @param file where the lines go, or null; closing it is the caller's
     * @param summed whether {@link #digest} is wanted, which takes as long as writing the lines
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

    /** Writes down that something happened now: names and values of its fields in turn. */
    public void add(String process, Kind kind, Object... fields) {
        Map<String, Object> named = new LinkedHashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            named.put((String) fields[i], fields[i + 1]);
        }
        Event event = new Event(time.nowUs(), process, kind, named);
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
            throw new IllegalStateException("the history has grown over " + MAX_BYTES + " bytes");
        }
        if (digest != null) {
            digest.update(line);
        }
        try {
            if (file != null) {
                file.write(line);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("history", e);
        }
    }

    /** The event as it stands in a history, its end of line included. */
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
                if (value instanceof Boolean yes) {
                    json.writeBoolean(yes);
                } else if (value instanceof Double decimal) {
                    json.writeNumber(decimal);
                } else if (value instanceof Number whole) {
                    json.writeNumber(whole.longValue());
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

    /** Reads a history that was written down, event by event. */
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
                    "an event without a kind at " + json.currentLocation().offsetDescription());
        }
        return new Event(atUs, process, kind, fields);
    }

    public long events() {
        return events;
    }

    /** The sum over all lines so far: equal for two runs that went the same way to the byte. */
    public String digest() {
        try {
            return HexFormat.of().formatHex(((MessageDigest) digest.clone()).digest());
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException("the JDK's SHA-256 can be cloned", e);
        }
    }
}
