package barleyspur.admin;

import barleyspur.admin.http.HttpRequest;
import barleyspur.admin.http.HttpRequestException;
import barleyspur.admin.http.HttpResponse;
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
 * sent a complete request within {@link #REQUEST_TIMEOUT_MS} receives status 408.
 */
final class AdminConnection extends SimpleChannelInboundHandler<HttpRequest> {

    private static final Logger LOG = LoggerFactory.getLogger("admin");
    /** How long a client has to send a complete request, because connections without one use up the limit. */
    static final double REQUEST_TIMEOUT_MS = 2_000;
    /** How long the client has to read the response and close its side before the channel is closed. */
    static final double LINGER_MS = 1_000;

    private final AdminServer server;
    private final Routes routes;
    private final Clock clock;
    private Channel channel;
    private LingeringClose lingeringClose;
    private Clock.Timer requestTimeout;
    private boolean responded;

    AdminConnection(AdminServer server, Routes routes, Clock clock) {
        this.server = server;
        this.routes = routes;
        this.clock = clock;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        lingeringClose = new LingeringClose(channel, clock);
        requestTimeout = clock.schedule(
                REQUEST_TIMEOUT_MS,
                () -> respond(HttpResponse.error(408, "no whole call within " + (long) REQUEST_TIMEOUT_MS + " ms")));
        ctx.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpRequest request) {
        HttpResponse response;
        try {
            response = routes.handle(request);
        } catch (RuntimeException e) {
            LogEvent.log(LOG.atError().setCause(e), "call failed", "method", request.method(), "path", request.path());
            response = HttpResponse.error(500, "the call failed: " + e);
        } finally {
            request.body().release();
        }
        LogEvent.log(
                LOG.atDebug(), "call", "method", request.method(), "path", request.path(), "status", response.status());
        respond(response);
    }

    /**
     * Writes the response and shuts down the sending side; the channel closes once the client has closed its side, or
     * {@link #LINGER_MS} after that. An immediate close with unread input would reset the connection, and the client
     * could lose the response.
     */
    void respond(HttpResponse response) {
        if (responded || channel == null) {
            return;
        }
        responded = true;
        requestTimeout.cancel();
        server.requestEnded(channel);
        channel.write(response.encode(channel.alloc()));
        lingeringClose.begin(LINGER_MS, () -> LINGER_MS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (requestTimeout != null) {
            requestTimeout.cancel();
            lingeringClose.onClosed();
        }
        server.requestEnded(ctx.channel());
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof HttpRequestException invalid) {
            LogEvent.log(
                    LOG.atWarn(),
                    "call refused",
                    "caller",
                    ctx.channel().remoteAddress(),
                    "status",
                    invalid.status(),
                    "cause",
                    invalid.getMessage());
            respond(HttpResponse.error(invalid.status(), invalid.getMessage()));
        } else if (cause instanceof IOException) {
            ctx.close();
        } else {
            LogEvent.log(LOG.atWarn(), "caller left", "caller", ctx.channel().remoteAddress(), "cause", cause);
            ctx.close();
        }
    }
}
