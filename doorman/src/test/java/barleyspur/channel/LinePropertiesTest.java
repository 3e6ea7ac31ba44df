package barleyspur.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.ChunkedInput;
import barleyspur.decision.RoutingPolicy.State;
import barleyspur.doorman.CommandListener;
import barleyspur.doorman.NodeListing;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.json.JSONObject;

/** Property tests of the command channel's parsers: chunked lines, gaps and garbage. */
class LinePropertiesTest implements CommandListener {

    private static final int MAX_LINE = 1_000;
    private static final String DROP = "{\"cursor\":%d,\"drop\":{\"family\":17,\"when\":1764576000480}}";

    private final List<Object> received = new ArrayList<>();
    private final CommandReader reader = new CommandReader(List.of("central", "east"), List.of("std"), this);

    @Override
    public void onNodeList(boolean full, List<NodeListing> listings) {
        received.addAll(listings);
    }

    @Override
    public void onObjectPurged(long object, double purgedAtMs) {
        received.add(object);
    }

    @Override
    public void onGroupPurged(int group, double purgedAtMs) {
        received.add(group);
    }

    @Property(seed = "31")
    void linesAreDecodedFromAnyChunks(
            @ForAll @Size(max = 6) List<@StringLength(max = 80) String> texts, @ForAll long chunkSeed) {
        List<String> lines = texts.stream()
                .map(t -> t.replaceAll("[\\n\\ud800-\\udfff]", "?"))
                .toList();
        byte[] bytes =
                lines.stream().map(l -> l + "\n").reduce("", String::concat).getBytes(StandardCharsets.UTF_8);
        assertEquals(lines, ChunkedInput.feed(new EmbeddedChannel(new LineDecoder(MAX_LINE)), bytes, chunkSeed));
    }

    @Property(seed = "32")
    void garbageIsRejectedWithoutAnException(
            @ForAll @StringLength(max = 60) String garbage, @ForAll boolean withHeader) {
        reader.readLine(withHeader ? "{\"cursor\":1,\"nodes\":{\"targets\":[" + garbage : garbage);
        assertEquals(List.of(), received);
    }

    @Property(seed = "33")
    void overlongLineIsRejected(@ForAll long chunkSeed) {
        assertEquals(
                null,
                ChunkedInput.feedGarbage(new EmbeddedChannel(new LineDecoder(MAX_LINE)), new byte[2_000], chunkSeed));
    }

    @Example
    void eachCommandIsAppliedOnceAndAGapIsDetected() {
        reader.readInitial(new JSONObject("{\"cursor\":4,\"cmds\":[]}"));
        assertTrue(reader.readLine("4"));
        assertTrue(reader.readLine(DROP.formatted(5)));
        assertTrue(reader.readLine(DROP.formatted(5)), "a repeated command is skipped");
        assertEquals(List.of(17), received);
        assertFalse(reader.readLine(DROP.formatted(7)), "command 6 was missed");
        assertFalse(reader.readLine("6"), "a heartbeat shows that command 6 was missed");
        assertEquals(5, reader.cursor());
    }

    @Example
    void unreadableNodeDoesNotAffectTheOthers() {
        String node = "{\"uid\":\"%s\",\"endpoint\":\"%s\",\"az\":\"east\",\"model\":\"std\",\"state\":\"in_service\"}";
        reader.readLine("{\"cursor\":1,\"nodes\":{\"all\":true,\"targets\":[" + node.formatted("a", "nowhere") + ","
                + node.formatted("b", "10.1.0.9:7001") + "]}}");
        assertEquals(1, received.size());
        NodeListing listing = (NodeListing) received.get(0);
        assertEquals("b", listing.uid());
        assertEquals(1, listing.zone());
        assertEquals(State.READY, listing.state());
        assertEquals(1, reader.cursor());
    }
}
