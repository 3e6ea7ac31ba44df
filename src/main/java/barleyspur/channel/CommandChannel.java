package barleyspur.channel;

import barleyspur.doorman.Clock;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.resolver.NoopAddressResolverGroup;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the command channel up. Whatever it has to tell counts as told some seconds on even where it was cut,
 * so a connection that misses its heartbeats or shows a gap is given up at once and a new one resumes.
 */
public final class CommandChannel {

    private static final Logger LOG = LoggerFactory.getLogger("channel");
    private static final int MAX_LINE = 4 << 20;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final double AGAIN_MS = 200;
    /** Heartbeats come each second: with two missing the connection is taken for dead. */
    private static final double SILENCE_MS = 2_500;

    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final Clock clock;
    private final CommandReader reader;
    private Channel current;
    private boolean said;
    private boolean closed;

    public CommandChannel(EventLoopGroup group, InetSocketAddress address, Clock clock, CommandReader reader) {
        this.address = address;
        this.clock = clock;
        this.reader = reader;
        this.bootstrap = new Bootstrap().group(group).channel(NioSocketChannel.class)
            .resolver(NoopAddressResolverGroup.INSTANCE)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    }

    /** Connects, now and whenever the connection is lost. */
    public void start() {
        if (closed) {
            return;
        }
        Connection connection = new Connection();
        current = bootstrap.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new LineDecoder(MAX_LINE), connection);
            }
        }).connect(address).addListener(connect -> {
            if (!connect.isSuccess()) {
                again(connect.cause().getMessage());
            }
        }).channel();
    }

    public void close() {
        closed = true;
        current.close();
    }

    private void again(String why) {
        if (!said && !closed) {
            LOG.warn("cut after command {}: {}", reader.cursor(), why);
            said = true;
        }
        clock.after(AGAIN_MS, this::start);
    }

    /** One connection, until it ends for whatever reason. */
    private final class Connection extends SimpleChannelInboundHandler<String> {
        private Clock.Timer silence;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            LOG.info("connected, resuming after command {}", reader.cursor());
            ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), "resume " + reader.cursor() + "\n"));
            listen(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            said = false;
            silence.cancel();
            listen(ctx);
            if (!reader.line(line)) {
                LOG.warn("gap after command {}: resuming", reader.cursor());
                ctx.close();
            }
        }

        private void listen(ChannelHandlerContext ctx) {
            silence = clock.after(SILENCE_MS, () -> {
                LOG.warn("silent after command {}", reader.cursor());
                ctx.close();
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            silence.cancel();
            again("the connection has ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.warn("connection closed: {}", cause.toString());
            ctx.close();
        }
    }
}
