package barleyspur.config;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.json.JSONException;
import org.json.JSONTokener;

/**
 * Finds the line of a key in a JSON text, for error messages. It uses org.json's tokenizer and descends only along the
 * path of the key; other values are parsed and skipped.
 */
final class JsonLines {

    /** The position in the {@code toString} of org.json's tokenizer: {@code " at 12 [character 3 line 1]"}. */
    private static final Pattern AT = Pattern.compile(" at (\\d+) \\[");

    private JsonLines() {}

    /**
     * Returns the line, from 1, of the key at the end of a dotted path such as {@code settings.grades.0.name}, in which
     * numbers are list indexes; 0 if the text has no such key or isn't valid JSON.
     */
    static int lineOf(String text, String path) {
        JSONTokener tokens = new JSONTokener(text);
        try {
            return find(text, tokens, path.split("\\."), 0);
        } catch (JSONException | NumberFormatException e) {
            return 0;
        }
    }

    private static int find(String text, JSONTokener tokens, String[] path, int depth) {
        char open = tokens.nextClean();
        if (open == '{') {
            while (true) {
                char c = tokens.nextClean();
                if (c != '"') {
                    return 0;
                }
                int line = line(text, tokens);
                String key = tokens.nextString('"');
                if (tokens.nextClean() != ':') {
                    return 0;
                }
                if (key.equals(path[depth])) {
                    return depth + 1 == path.length ? line : find(text, tokens, path, depth + 1);
                }
                tokens.nextValue();
                if (tokens.nextClean() != ',') {
                    return 0;
                }
            }
        }
        if (open == '[') {
            int wanted = Integer.parseInt(path[depth]);
            for (int i = 0; ; i++) {
                if (i == wanted) {
                    tokens.nextClean();
                    tokens.back();
                    return depth + 1 == path.length ? line(text, tokens) : find(text, tokens, path, depth + 1);
                }
                tokens.nextValue();
                if (tokens.nextClean() != ',') {
                    return 0;
                }
            }
        }
        return 0;
    }

    private static int line(String text, JSONTokener tokens) {
        Matcher at = AT.matcher(tokens.toString());
        if (!at.find()) {
            return 0;
        }
        int index = Math.min(text.length(), Integer.parseInt(at.group(1)));
        int line = 1;
        for (int i = 0; i < index; i++) {
            if (text.charAt(i) == '\n') {
                line++;
            }
        }
        return line;
    }
}
