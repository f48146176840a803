package loadbalancer.common;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LogTest {

    @Test
    void anEventIsOneLineOfKeysAndValues() {
        assertEquals(
                "level=info event=listening address=127.0.0.1:80 requests=3",
                Log.line("info", "listening", "address", "127.0.0.1:80", "requests", 3));
    }

    @Test
    void ambiguousValuesAreQuoted() {
        assertEquals(
                "level=warn event=e a=\"two words\" b=\"k=v\" c=\"say \\\"hi\\\"\" d=\"\" e=\"back\\\\slash here\"",
                Log.line(
                        "warn",
                        "e",
                        "a",
                        "two words",
                        "b",
                        "k=v",
                        "c",
                        "say \"hi\"",
                        "d",
                        "",
                        "e",
                        "back\\slash here"));
    }

    @Test
    void lineBreaksDoNotEndAnEvent() {
        assertEquals("level=warn event=e a=\"one two three\"", Log.line("warn", "e", "a", "one\ntwo\rthree"));
    }

    @Test
    void fieldsWithoutAValueAreLeftOut() {
        assertEquals("level=info event=e b=1", Log.line("info", "e", "a", null, "b", 1));
    }
}
