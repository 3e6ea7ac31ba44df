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
 * One caller of the second address: one call, one answer, then the end. A caller that has not sent a whole call
 * within {@link #CALL_MS} is answered 408 and left.
 */
final class AdminConnection extends SimpleChannelInboundHandler<HttpRequest> {

    private static final Logger LOG = LoggerFactory.getLogger("admin");
    /** How long a caller has for a whole call: callers that hold a connection without one must not hold it long. */
    static final double CALL_MS = 2_000;
    /** How long the caller has to read the answer and close its side, before the connection is closed from here. */
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
        late = clock.schedule(
                CALL_MS, () -> answer(HttpAnswer.problem(408, "no whole call within " + (long) CALL_MS + " ms")));
        ctx.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpRequest request) {
        HttpAnswer answer;
        try {
            answer = routes.answer(request);
        } catch (RuntimeException e) {
            LogEvent.log(LOG.atError().setCause(e), "call failed", "method", request.method(), "path", request.path());
            answer = HttpAnswer.problem(500, "the call failed: " + e);
        } finally {
            request.body().release();
        }
        LogEvent.log(
                LOG.atDebug(), "call", "method", request.method(), "path", request.path(), "status", answer.status());
        answer(answer);
    }

    /**
     * Writes the answer and ends the connection: first this side, so that the caller reads all of it, then the whole
     * once the caller has closed, or after a while. A close with unread input would reset the answer away.
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
            closing.onClosed();
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
