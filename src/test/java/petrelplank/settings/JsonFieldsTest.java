package petrelplank.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Typed access to the fields of a JSON object; errors carry the path of the object and what is wrong. */
class JsonFieldsTest {
    private static JsonFields fields(String json) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            parser.nextToken();
            return JsonValue.read(parser).asObject("event");
        }
    }

    private static void assertFault(Runnable reading, String path, String rule) {
        assertThatExceptionOfType(FormatException.class)
                .isThrownBy(reading::run)
                .withMessage(path + ": " + rule)
                .satisfies(fault -> {
                    assertThat(fault.path()).isEqualTo(path);
                    assertThat(fault.rule()).isEqualTo(rule);
                });
    }

    @Test
    void faultsCarryPathAndRule() throws IOException {
        JsonFields fields = fields("{\"text\":5,\"list\":[{},3],\"inner\":{\"number\":\"x\"}}");
        assertFault(() -> fields.text("none"), "event", "\"none\" is missing");
        assertFault(() -> fields.text("text"), "event", "\"text\" should be a string, found 5");
        assertFault(() -> fields.object("text"), "event: \"text\"", "expected an object, found 5");
        assertFault(() -> fields.objects("list", "entry"), "event: \"list\"", "expected an object, found 3");
        JsonFields inner = fields.object("inner");
        assertFault(() -> inner.integer("number"), "event inner", "\"number\" should be a whole number, found x");
    }

    @Test
    void elementsOfAnArrayMayBeNamedByTheirIndex() throws IOException {
        List<JsonFields> entries = fields("{\"list\":[{},{}]}").indexedObjects("list", "entry");
        assertFault(() -> entries.get(1).text("id"), "entry 1", "\"id\" is missing");
    }

    @Test
    void nullCountsAsAbsent() throws IOException {
        JsonFields fields = fields("{\"text\":null,\"flags\":[true,null,\"true\"]}");
        assertThat(fields.has("text")).isFalse();
        assertThat(fields.text("text", "default")).isEqualTo("default");
        assertThat(fields.flags("flags")).containsExactly(true, false, false);
    }
}
