package barleyspur;

import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.config.Configuration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.Test;

/** The warm-up has to run through parsers, core and routing policy, which shows in answers with complete bodies. */
class RehearsalTest {

    @Test
    void mostRequestsAreServed() throws Configuration.Invalid {
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        long answered = new Rehearsal(group, Configuration.example()).play(100);
        group.shutdownGracefully();
        assertTrue(answered > 90L * Rehearsal.BODY, answered + " bytes");
    }
}
