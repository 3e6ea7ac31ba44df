package barleyspur;

import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.config.Configuration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.Test;

/** The warm-up has to run through parsers, core and routing policy, which shows in answers with complete bodies. */
class WarmUpTest {

    @Test
    void mostRequestsAreServed() throws Configuration.InvalidConfigurationException {
        var eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        long answerBytes = new WarmUp(eventLoops, Configuration.example()).run(100);
        eventLoops.shutdownGracefully();
        assertTrue(answerBytes > 90L * WarmUp.BODY_BYTES, answerBytes + " bytes");
    }
}
