package barleyspur.budget.net;

import barleyspur.budget.Word;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes messages about budgets as CBOR (RFC 8949): {@code [format, kind, fields...]}. Additional elements at the end
 * are skipped. A message of an unknown kind is ignored, one of another format is rejected. Times are whole
 * milliseconds: the duration of a grant is rounded down, the remaining duration of a lease up. Not thread-safe.
 */
final class WordCodec {

    /** Written into each message: the oldest format whose readers understand it. */
    private static final int FORMAT = 1;

    private static final int VOTE_ASK = 1;
    private static final int VOTE = 2;
    private static final int RELEASE = 3;
    private static final int ASK = 4;
    private static final int GRANTS = 5;
    private static final int ELSEWHERE = 6;
    private static final int MOST_ITEMS = 64;
    private static final int LONGEST_TEXT = 128;
    private static final double WEIGHTS = 1_000;
    /** Upper bound on the bytes of a message around its list of items. */
    private static final int AROUND = 64;

    /** Thrown for messages that cannot be decoded; the text is the cause's label in the metrics. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        Unreadable(String cause) {
            super(cause, null, false, false);
        }
    }

    private interface Part {
        void write(CBORGenerator g) throws IOException;
    }

    private final CBORFactory factory = new CBORFactory();

    /** Encodes a message as one or more of at most {@code room} bytes; items that are too long are left out. */
    List<byte[]> encode(Word word, int room) {
        if (word instanceof Word.Ask w) {
            return split(
                    w.claims(),
                    room,
                    items -> g -> {
                        head(g, 6, ASK);
                        g.writeNumber(w.terms());
                        g.writeNumber(w.heard());
                        g.writeNumber((long) w.atMs());
                        write(g, items);
                    },
                    c -> g -> claim(g, c));
        } else if (word instanceof Word.Grants w) {
            return split(
                    w.grants(),
                    room,
                    items -> g -> {
                        head(g, 5, GRANTS);
                        g.writeNumber(w.terms());
                        g.writeNumber(w.term());
                        write(g, items);
                    },
                    c -> g -> grant(g, c));
        }
        return List.of(bytes(g -> {
            if (word instanceof Word.VoteAsk w) {
                head(g, 5, VOTE_ASK);
                g.writeNumber(w.terms());
                g.writeNumber(w.ballot());
                g.writeNumber(w.number());
            } else if (word instanceof Word.Vote w) {
                head(g, 6, VOTE);
                g.writeNumber(w.ballot());
                g.writeNumber(w.number());
                g.writeBoolean(w.yes());
                g.writeString(w.promised());
            } else if (word instanceof Word.Release w) {
                head(g, 3, RELEASE);
                g.writeNumber(w.ballot());
            } else if (word instanceof Word.Elsewhere w) {
                head(g, 3, ELSEWHERE);
                g.writeString(w.address());
            }
            g.writeEndArray();
        }));
    }

    private interface Whole {
        Part of(List<byte[]> items);
    }

    private interface Item<T> {
        Part of(T item);
    }

    private <T> List<byte[]> split(List<T> items, int room, Whole whole, Item<T> one) {
        List<byte[]> messages = new ArrayList<>();
        List<byte[]> fit = new ArrayList<>();
        int size = AROUND;
        for (T item : items) {
            byte[] bytes = bytes(one.of(item));
            if (size + bytes.length > room && !fit.isEmpty()) {
                messages.add(bytes(whole.of(fit)));
                fit = new ArrayList<>();
                size = AROUND;
            }
            if (size + bytes.length <= room) {
                fit.add(bytes);
                size += bytes.length;
            }
        }
        if (!fit.isEmpty() || messages.isEmpty()) {
            messages.add(bytes(whole.of(fit)));
        }
        return messages;
    }

    private byte[] bytes(Part part) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (CBORGenerator g = factory.createGenerator(out)) {
            part.write(g);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory can't fail", e);
        }
        return out.toByteArray();
    }

    private static void head(CBORGenerator g, int fields, int kind) throws IOException {
        g.writeStartArray(null, fields);
        g.writeNumber(FORMAT);
        g.writeNumber(kind);
    }

    private static void write(CBORGenerator g, List<byte[]> items) throws IOException {
        g.writeStartArray(null, items.size());
        for (byte[] item : items) {
            g.writeBinary(item);
        }
        g.writeEndArray();
        g.writeEndArray();
    }

    private static void claim(CBORGenerator g, Word.Claim c) throws IOException {
        g.writeStartArray(null, 11);
        g.writeString(c.budget());
        g.writeNumber(c.number());
        g.writeNumber(c.took());
        g.writeNumber(c.term());
        g.writeNumber(c.held());
        g.writeNumber(c.using());
        g.writeNumber(c.wants());
        g.writeNumber(Math.round(c.weight() * WEIGHTS));
        g.writeNumber(c.whole());
        g.writeNumber(c.opening());
        g.writeNumber((long) Math.ceil(c.leftMs()));
        g.writeEndArray();
    }

    private static void grant(CBORGenerator g, Word.Grant c) throws IOException {
        g.writeStartArray(null, 5);
        g.writeString(c.budget());
        g.writeNumber(c.number());
        g.writeNumber(c.amount());
        g.writeNumber((long) c.forMs());
        g.writeNumber(c.opening());
        g.writeEndArray();
    }

    /** Decodes a message; returns null for an unknown kind. */
    Word decode(byte[] body) throws Unreadable {
        try (JsonParser p = factory.createParser(body)) {
            start(p);
            if (number(p) != FORMAT) {
                throw new Unreadable("format");
            }
            return switch ((int) number(p)) {
                case VOTE_ASK -> new Word.VoteAsk(number(p), number(p), number(p));
                case VOTE -> new Word.Vote(number(p), number(p), p.nextBooleanValue() == Boolean.TRUE, text(p));
                case RELEASE -> new Word.Release(number(p));
                case ASK -> new Word.Ask(number(p), number(p), number(p), items(p, this::claim));
                case GRANTS -> new Word.Grants(number(p), number(p), items(p, this::grant));
                case ELSEWHERE -> new Word.Elsewhere(text(p));
                default -> null;
            };
        } catch (IOException | RuntimeException e) {
            throw new Unreadable("form");
        }
    }

    private interface Reader<T> {
        T read(JsonParser p) throws IOException, Unreadable;
    }

    private <T> List<T> items(JsonParser p, Reader<T> reader) throws IOException, Unreadable {
        start(p);
        List<T> items = new ArrayList<>();
        while (p.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT) {
            try (JsonParser item = factory.createParser(p.getBinaryValue())) {
                start(item);
                items.add(reader.read(item));
            }
            if (items.size() > MOST_ITEMS) {
                throw new Unreadable("bounds");
            }
        }
        if (p.currentToken() != JsonToken.END_ARRAY) {
            throw new Unreadable("form");
        }
        return List.copyOf(items);
    }

    private Word.Claim claim(JsonParser p) throws IOException, Unreadable {
        return new Word.Claim(
                text(p),
                unsigned(p),
                unsigned(p),
                number(p),
                unsigned(p),
                unsigned(p),
                unsigned(p),
                unsigned(p) / WEIGHTS,
                unsigned(p),
                number(p),
                unsigned(p));
    }

    private Word.Grant grant(JsonParser p) throws IOException, Unreadable {
        return new Word.Grant(text(p), unsigned(p), unsigned(p), unsigned(p), number(p));
    }

    private static void start(JsonParser p) throws IOException, Unreadable {
        if (p.nextToken() != JsonToken.START_ARRAY) {
            throw new Unreadable("form");
        }
    }

    private static long number(JsonParser p) throws IOException, Unreadable {
        if (p.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new Unreadable("form");
        }
        return p.getLongValue();
    }

    private static long unsigned(JsonParser p) throws IOException, Unreadable {
        long number = number(p);
        if (number < 0) {
            throw new Unreadable("bounds");
        }
        return number;
    }

    private static String text(JsonParser p) throws IOException, Unreadable {
        String text = p.nextTextValue();
        if (text == null || text.length() > LONGEST_TEXT) {
            throw new Unreadable("form");
        }
        return text;
    }
}
