package barleyspur.front.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Encodes framed calls of clients for tests. */
final class ThriftCalls {

    private ThriftCalls() {}

    /** Returns a framed {@code dispatch} that includes an unknown field, which the server has to skip. */
    static ByteBuf dispatch(int seqid, Map<String, String> fields, byte[] body) {
        ByteBuf out = Unpooled.buffer();
        out.writeInt(0).writeInt(ThriftProtocol.VERSION | ThriftProtocol.CALL);
        string(out, "dispatch".getBytes(StandardCharsets.UTF_8));
        out.writeInt(seqid);
        out.writeByte(ThriftProtocol.LIST)
                .writeShort(9)
                .writeByte(ThriftProtocol.I32)
                .writeInt(2)
                .writeInt(1)
                .writeInt(2);
        out.writeByte(ThriftProtocol.MAP)
                .writeShort(1)
                .writeByte(ThriftProtocol.STRING)
                .writeByte(ThriftProtocol.STRING);
        out.writeInt(fields.size());
        fields.forEach((name, value) -> {
            string(out, name.getBytes(StandardCharsets.UTF_8));
            string(out, value.getBytes(StandardCharsets.UTF_8));
        });
        out.writeByte(ThriftProtocol.STRING).writeShort(2);
        string(out, body);
        out.writeByte(ThriftProtocol.STOP);
        return out.setInt(0, out.readableBytes() - Integer.BYTES);
    }

    /** Returns a framed {@code cancelRequest} for the call with sequence number {@code cancelled}. */
    static ByteBuf cancelRequest(int seqid, int cancelled) {
        ByteBuf out = Unpooled.buffer();
        out.writeInt(0).writeInt(ThriftProtocol.VERSION | ThriftProtocol.ONEWAY);
        string(out, "cancelRequest".getBytes(StandardCharsets.UTF_8));
        out.writeInt(seqid)
                .writeByte(ThriftProtocol.I32)
                .writeShort(1)
                .writeInt(cancelled)
                .writeByte(ThriftProtocol.STOP);
        return out.setInt(0, out.readableBytes() - Integer.BYTES);
    }

    /** Returns a mutable map with the fields of a request for one part and 1,500 ms remaining. */
    static Map<String, String> fields(String className, String id) {
        return new HashMap<>(
                Map.of("c", className, "i", id, "d", "1500", "o", "7f3a9c21e0b4d655", "seg", "3", "bucket", "17"));
    }

    /** Writes a string or binary value: its length, then its bytes. */
    static void string(ByteBuf out, byte[] bytes) {
        out.writeInt(bytes.length).writeBytes(bytes);
    }
}
