import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Writes JSON from maps, lists, strings, numbers and booleans. */
final class Json {
    private Json() {}

    /** Returns an ordered map of these keys and values, given in turn. */
    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map.entrySet().stream()
                    .map(entry -> write(entry.getKey()) + ":" + write(entry.getValue()))
                    .collect(Collectors.joining(",", "{", "}"));
        }
        if (value instanceof List<?> list) {
            return list.stream().map(Json::write).collect(Collectors.joining(",", "[", "]"));
        }
        return value instanceof String text ? "\"" + text + "\"" : String.valueOf(value);
    }
}
