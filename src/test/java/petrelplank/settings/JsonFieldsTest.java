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

    private static void assertInvalid(Runnable read, String path, String problem) {
        assertThatExceptionOfType(FormatException.class)
                .isThrownBy(read::run)
                .withMessage(path + ": " + problem)
                .satisfies(exception -> {
                    assertThat(exception.path()).isEqualTo(path);
                    assertThat(exception.problem()).isEqualTo(problem);
                });
    }

    @Test
    void errorsCarryPathAndProblem() throws IOException {
        JsonFields fields = fields("{\"text\":5,\"list\":[{},3],\"inner\":{\"number\":\"x\"}}");
        assertInvalid(() -> fields.text("none"), "event", "\"none\" is missing");
        assertInvalid(() -> fields.text("text"), "event", "\"text\" should be a string, found 5");
        assertInvalid(() -> fields.object("text"), "event: \"text\"", "expected an object, found 5");
        assertInvalid(() -> fields.objects("list", "entry"), "event: \"list\"", "expected an object, found 3");
        JsonFields inner = fields.object("inner");
        assertInvalid(() -> inner.integer("number"), "event inner", "\"number\" should be a whole number, found x");
    }

    @Test
    void elementsOfAnArrayMayBeNamedByTheirIndex() throws IOException {
        List<JsonFields> entries = fields("{\"list\":[{},{}]}").indexedObjects("list", "entry");
        assertInvalid(() -> entries.get(1).text("id"), "entry 1", "\"id\" is missing");
    }

    @Test
    void nullCountsAsAbsent() throws IOException {
        JsonFields fields = fields("{\"text\":null,\"flags\":[true,null,\"true\"]}");
        assertThat(fields.has("text")).isFalse();
        assertThat(fields.text("text", "default")).isEqualTo("default");
        assertThat(fields.flags("flags")).containsExactly(true, false, false);
    }
}
