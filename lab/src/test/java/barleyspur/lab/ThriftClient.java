package barleyspur.lab;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A blocking client of the Thrift interface. */
final class ThriftClient implements AutoCloseable {
    private static final int REPLY = 2;
    private static final int SUCCESS = 0;

    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;

    ThriftClient(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
    }

    void send(String method, int sequenceNumber, Map<String, String> fields) throws IOException {
        send(frame(method, sequenceNumber, fields, null));
    }

    /** Writes bytes as they are. */
    void send(byte[] bytes) throws IOException {
        out.write(bytes);
    }

    /** Returns the frame of a call; {@code fields} and {@code body} may be null for none. */
    static byte[] frame(String method, int sequenceNumber, Map<String, String> fields, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream frame = new DataOutputStream(bytes);
        frame.writeInt(0);
        frame.writeInt(0x80010001);
        writeText(frame, method);
        frame.writeInt(sequenceNumber);
        if (fields != null) {
            frame.writeByte(13);
            frame.writeShort(1);
            frame.writeByte(11);
            frame.writeByte(11);
            frame.writeInt(fields.size());
            for (Map.Entry<String, String> field : fields.entrySet()) {
                writeText(frame, field.getKey());
                writeText(frame, field.getValue());
            }
        }
        if (body != null) {
            frame.writeByte(11);
            frame.writeShort(2);
            frame.writeInt(body.length);
            frame.write(body);
        }
        frame.writeByte(0);
        byte[] complete = bytes.toByteArray();
        ByteBuffer.wrap(complete).putInt(complete.length - Integer.BYTES);
        return complete;
    }

    private static void writeText(DataOutputStream output, String text) throws IOException {
        output.writeInt(text.length());
        output.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** An answer: the sequence number of its request, and whether the request was served. */
    record Answer(int sequenceNumber, boolean served) {}

    /**
     * Reads the next answer and returns its sequence number; null at the end of the connection, which must not be a
     * reset.
     */
    Integer readSequenceNumber() throws IOException {
        Answer answer = readAnswer();
        return answer == null ? null : answer.sequenceNumber();
    }

    /** Reads the next answer; null at the end of the connection, which must not be a reset. */
    Answer readAnswer() throws IOException {
        int firstByte = in.read();
        if (firstByte < 0) {
            return null;
        }
        byte[] bytes = new byte
                [firstByte << 24 | in.readUnsignedByte() << 16 | in.readUnsignedByte() << 8 | in.readUnsignedByte()];
        in.readFully(bytes);
        ByteBuffer frame = ByteBuffer.wrap(bytes);
        int type = frame.getInt() & 0xFF;
        frame.position(frame.getInt() + frame.position());
        int sequenceNumber = frame.getInt();
        frame.get();
        return new Answer(sequenceNumber, type == REPLY && frame.getShort() == SUCCESS);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
