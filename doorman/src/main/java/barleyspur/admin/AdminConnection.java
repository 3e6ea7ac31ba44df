package barleyspur.admin;

import barleyspur.admin.http.HttpAnswer;
import barleyspur.admin.http.HttpFault;
import barleyspur.admin.http.HttpRequest;
import barleyspur.doorman.Clock;
import barleyspur.log.LogEvent;
import barleyspur.transport.LingeringClose;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles one connection to the administration address: one request, one response, then the close. A client that hasn't
 * sent a complete request within {@link #CALL_MS} receives status 408.
 */
final class AdminConnection extends SimpleChannelInboundHandler<HttpRequest> {

    private static final Logger LOG = LoggerFactory.getLogger("admin");
    /** How long a client has to send a complete request, because connections without one use up the limit. */
    static final double CALL_MS = 2_000;
    /** How long the client has to read the response and close its side before the channel is closed. */
    static final double LAST_READ_MS = 1_000;

    private final AdminServer server;
    private final Routes routes;
    private final Clock clock;
    private Channel channel;
    private LingeringClose closing;
    private Clock.Timer late;
    private boolean answered;

    AdminConnection(AdminServer server, Routes routes, Clock clock) {
        this.server = server;
        this.routes = routes;
        this.clock = clock;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        closing = new LingeringClose(channel, clock);
        late = clock.after(
                CALL_MS, () -> answer(HttpAnswer.problem(408, "no complete request within " + (long) CALL_MS + " ms")));
        ctx.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpRequest request) {
        HttpAnswer answer;
        try {
            answer = routes.answer(request);
        } catch (RuntimeException e) {
            LogEvent.log(LOG.atError().setCause(e), "call failed", "method", request.method(), "path", request.path());
            answer = HttpAnswer.problem(500, "the request failed: " + e);
        } finally {
            request.body().release();
        }
        LogEvent.log(
                LOG.atDebug(), "call", "method", request.method(), "path", request.path(), "status", answer.status());
        answer(answer);
    }

    /**
     * Writes the response and shuts down the sending side; the channel closes once the client has closed its side, or
     * after {@link #LAST_READ_MS}. An immediate close with unread input would reset the connection, and the client
     * could lose the response.
     */
    void answer(HttpAnswer answer) {
        if (answered || channel == null) {
            return;
        }
        answered = true;
        late.cancel();
        server.called(channel);
        channel.write(answer.encode(channel.alloc()));
        closing.begin(LAST_READ_MS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (late != null) {
            late.cancel();
            closing.closed();
        }
        server.called(ctx.channel());
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof HttpFault fault) {
            LogEvent.log(
                    LOG.atWarn(),
                    "call refused",
                    "caller",
                    ctx.channel().remoteAddress(),
                    "status",
                    fault.status(),
                    "cause",
                    fault.getMessage());
            answer(HttpAnswer.problem(fault.status(), fault.getMessage()));
        } else if (cause instanceof IOException) {
            ctx.close();
        } else {
            LogEvent.log(LOG.atWarn(), "caller left", "caller", ctx.channel().remoteAddress(), "cause", cause);
            ctx.close();
        }
    }
}
