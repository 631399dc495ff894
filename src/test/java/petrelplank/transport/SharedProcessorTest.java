package petrelplank.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SharedProcessorTest {
    private static final int MAX_WAIT_MS = 10_000;

    private final ExecutorService ioThread = Executors.newCachedThreadPool();
    private final SharedProcessor processor = new SharedProcessor(ioThread, () -> 0);
    private final BoundedAcceptor acceptor = new BoundedAcceptor(processor, new DescriptorBudget(2));
    private final LinkedBlockingQueue<IoSession> sessions = new LinkedBlockingQueue<>();
    private Socket client;

    @BeforeEach
    void connect() throws Exception {
        acceptor.setHandler(new IoHandlerAdapter() {
            @Override
            public void sessionOpened(IoSession session) {
                sessions.add(session);
            }
        });
        acceptor.bind(new InetSocketAddress("127.0.0.1", 0));
        client = new Socket("127.0.0.1", acceptor.getLocalAddress().getPort());
        client.setSoTimeout(MAX_WAIT_MS);
    }

    @AfterEach
    void close() throws Exception {
        client.close();
        acceptor.dispose();
        processor.dispose();
        ioThread.shutdown();
    }

    /** Guards against an I/O thread that blocks without a time limit while connections wait to be closed. */
    @Test
    void idleConnectionIsClosedWithoutAnyOtherTraffic() throws Exception {
        IoSession session = sessions.poll(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        // The I/O thread waits in its ordinary selection by now, and the request below wakes it from there.
        long selections = processor.selections();
        while (processor.selections() < selections + 2) {
            Thread.sleep(1);
        }
        acceptor.closeIfIdle(session, () -> true, () -> {});
        assertThat(client.getInputStream().read()).isEqualTo(-1);
    }
}
