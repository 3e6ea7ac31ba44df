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
    private static final Pattern POSITION = Pattern.compile(" at (\\d+) \\[");

    private JsonLines() {}

    /**
     * Returns the line, from 1, of the key at the end of a dotted path such as {@code settings.grades.0.name}, in which
     * numbers are list indexes; 0 if the text has no such key or isn't valid JSON.
     */
    static int lineOf(String text, String path) {
        JSONTokener tokens = new JSONTokener(text);
        try {
            return findLine(text, tokens, path.split("\\."), 0);
        } catch (JSONException | NumberFormatException e) {
            return 0;
        }
    }

    private static int findLine(String text, JSONTokener tokens, String[] path, int depth) {
        char open = tokens.nextClean();
        if (open == '{') {
            while (true) {
                char next = tokens.nextClean();
                if (next != '"') {
                    return 0;
                }
                int line = currentLine(text, tokens);
                String key = tokens.nextString('"');
                if (tokens.nextClean() != ':') {
                    return 0;
                }
                if (key.equals(path[depth])) {
                    return depth + 1 == path.length ? line : findLine(text, tokens, path, depth + 1);
                }
                tokens.nextValue();
                if (tokens.nextClean() != ',') {
                    return 0;
                }
            }
        }
        if (open == '[') {
            int wantedIndex = Integer.parseInt(path[depth]);
            for (int i = 0; ; i++) {
                if (i == wantedIndex) {
                    tokens.nextClean();
                    tokens.back();
                    return depth + 1 == path.length
                            ? currentLine(text, tokens)
                            : findLine(text, tokens, path, depth + 1);
                }
                tokens.nextValue();
                if (tokens.nextClean() != ',') {
                    return 0;
                }
            }
        }
        return 0;
    }

    private static int currentLine(String text, JSONTokener tokens) {
        Matcher matcher = POSITION.matcher(tokens.toString());
        if (!matcher.find()) {
            return 0;
        }
        int index = Math.min(text.length(), Integer.parseInt(matcher.group(1)));
        int line = 1;
        for (int i = 0; i < index; i++) {
            if (text.charAt(i) == '\n') {
                line++;
            }
        }
        return line;
    }
}
