import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases of this review share: the proxy as a process of its own, started with the run line of the deploy file,
 * and stand-ins for clients, cache nodes and the coordinator on loopback addresses.
 */
final class Lab implements AutoCloseable {
    /** Exit statuses of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** False with TROUBLE=0: the same run without the disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long READY_TIMEOUT_MS = 30_000;

    /** Thrown when a case cannot be run, for example because the proxy did not start. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String message) {
            super(message);
        }
    }

    /** A case: returns true if the rule held. */
    interface Case {
        boolean run(Lab lab) throws Exception;
    }

    /** Runs a case and ends the process with its exit status. */
    static void main(String[] args, Case test) {
        int status;
        try (Lab lab = new Lab(Path.of(args[0]))) {
            lab.note("disruption: " + (TROUBLE ? "on" : "off (TROUBLE=0)"));
            try {
                status = test.run(lab) ? HELD : BROKEN;
                lab.note(status == HELD ? "RESULT: the rule held" : "RESULT: the rule was broken");
            } catch (Throwable e) {
                status = COULD_NOT_RUN;
                lab.note("RESULT: the case could not run: " + e);
                e.printStackTrace();
            }
        } catch (IOException e) {
            e.printStackTrace();
            status = COULD_NOT_RUN;
        }
        Runtime.getRuntime().halt(status);
    }

    private final PrintWriter record;
    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final Thread atExit = new Thread(this::endProcesses);

    private Lab(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    /** Unix time in milliseconds. */
    static long now() {
        return System.currentTimeMillis();
    }

    private final long startedMs = now();

    /** Writes a line to the record, with the time since the start of the case. */
    void note(String line) {
        String text = String.format("%8.3f s  %s", (now() - startedMs) / 1000.0, line);
        synchronized (record) {
            record.println(text);
        }
        System.out.println(text);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new CannotRun("interrupted");
        }
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void endProcesses() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    // ---------------------------------------------------------------- the proxy

    /** A proxy that runs as a process of its own. */
    final class Proxy {
        final Process process;
        final InetSocketAddress address;
        final Path config;
        private final Path log;

        private Proxy(Process process, InetSocketAddress address, Path config, Path log) {
            this.process = process;
            this.address = address;
            this.config = config;
            this.log = log;
        }

        String log() {
            try {
                return Files.readString(log);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        void awaitReady() {
            long until = now() + READY_TIMEOUT_MS;
            while (!log().contains("serving at /")) {
                if (!process.isAlive() || now() > until) {
                    throw new CannotRun("proxy not ready: " + log());
                }
                sleep(20);
            }
            note("proxy ready, pid " + process.pid());
        }

        /** Copies the proxy's log to the record. */
        void noteLog() {
            log().lines().forEach(line -> note("proxy log: " + line));
        }
    }

    /** Starts a proxy with the run line of the deploy file, from the repository's root by /bin/sh -c. */
    Proxy startProxy(String name, String coordinator, String knownEvents, int lastKnown, String settings, String limits)
            throws IOException {
        InetSocketAddress address = freeAddress();
        String listen = "127.0.0.1:" + address.getPort();
        Path config = folder.resolve(name + ".json");
        Files.writeString(config, configuration(name, listen, coordinator, knownEvents, lastKnown, settings, limits));
        Path log = folder.resolve(name + ".log");
        Path temporary = Files.createDirectory(folder.resolve(name + ".tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployLine("run"));
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("EDGE_LISTEN", listen);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        Process process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        processes.add(process);
        note("proxy " + name + " started, pid " + process.pid() + ", listens on " + listen);
        return new Proxy(process, address, config, log);
    }

    static String configuration(
            String name, String listen, String coordinator, String knownEvents, int lastKnown, String settings,
            String limits) {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":"
                + limits + ",\"coordinator\":\"" + coordinator
                + "\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\"known\":{\"index\":" + lastKnown
                + ",\"updates\":[" + knownEvents + "]},\"settings\":" + settings + "}";
    }

    private static String deployLine(String name) throws IOException {
        Matcher line = Pattern.compile("(?m)^" + name + " = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!line.find()) {
            throw new CannotRun("no line " + name + " in the deploy file");
        }
        return line.group(1);
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    /** Settings of a small deployment, after the example of the operators' page; replace() adapts single figures. */
    static final String SETTINGS = """
        {"balancers":1,"caps":{"cancel":true,"conn-idle-us":15000000,"connect-timeout-us":400000,
        "cpu-us-per-request":0.0,"cpu-us-per-s":500000,"max-open":20000,"max-retry-after-us":2000000,
        "max-streams":100,"peer-messages":false,"probing":true,"retry-after":true,"second-copies":true,"try-limit":6},
        "charges":{"connection":0.0},"clients":{"marks-retry":false},"discovery":"automatic","family":"edge",
        "family-info":{"byte-fee":0.06,"class-grace-us":[0,20000000,0],"class-write":[false,false,true],
        "crew-by-zone":[0,1],"flow-kb-per-s":8200.0,"hub-of":[0,0],"in-pieces":[false,false,false],
        "max-age-us":[0,20000000,0],"merges-fills":false,"neighbours":"location","note-level":"all",
        "notice-time-us":500000,"old-copy-worth":[0.7,0.5,0.7],"origin-kind":2,"origin-over-for-us":3000000,
        "parent-breaks-at":2.0,"parent-cold-from":0.065,"parent-cold-us":20000000,"pass-through-ok":true,
        "purge-done-us":6000000,"root-fall-multiple":2.5,"upper-kind":1,"zone-link-kb-per-s":[0.0,0.0]},
        "granularity-us":2000,"kinds":["small-box","parent","origin"],"localities":["north","edge-1"],
        "over-share-worth":0.1,"report":{"fields":["concurrent"],"how":"answers"},
        "rules":{"answer-slack-us":8000,"ask-every-us":10000000,"cold-from":0.16,"fall-multiple":4.0,
        "fall-us":1500000,"stop-sending-within-us":1000000,"warm-after-us":15000000},"self-index":0,
        "services":[{"aim-stretch":2.0,"aim-us":500000,"deadline-us":6000000,"group":"all","key-ttl-us":5000000,
        "late-worth":0.15,"name":"media","repeat":"free","stream":false,"worth":2.0},
        {"aim-stretch":2.0,"aim-us":400000,"deadline-us":3000000,"group":"all","key-ttl-us":5000000,
        "late-worth":0.2,"name":"pages","repeat":"free","stream":false,"worth":1.0},
        {"aim-us":700000,"deadline-us":3000000,"group":"all","key-ttl-us":5000000,"late-worth":0.0,
        "name":"stock-move","repeat":"single_shot","stream":false,"worth":3.0}],
        "stage":0,"tenants":[],"tiers":["branch-cache"],"weights":"rough","worth-by":"request","zone":"edge-1"}""";

    static final String LIMITS = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";

    /** Replaces one setting; fails if the text is not there. */
    static String replace(String settings, String from, String to) {
        if (!settings.contains(from)) {
            throw new CannotRun("no " + from + " in the settings");
        }
        return settings.replace(from, to);
    }

    static String instance(String id, String address, String zone, String kind, String state) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"machineType\":\"" + kind + "\",\"cell\":0,\"lifecycle\":\"" + state
                + "\",\"weight\":8,\"startedAtMs\":0}";
    }

    static String listEvent(int index, boolean reset, List<String> instances) {
        return "{\"index\":" + index + ",\"endpoints\":{\"generation\":" + index + ",\"reset\":" + reset
                + ",\"instances\":[" + String.join(",", instances) + "]}}";
    }

    // ---------------------------------------------------------------- the coordinator

    /** The coordinator: sends each follower the events after the last that it has, and each second the last number. */
    static final class Coordinator {
        private final ServerSocket socket;
        private final Lab lab;
        /** Event lines; the first has the number 1. */
        private final List<String> events = new ArrayList<>();
        /** How fast lines are written, in bytes a second; 0: at once. */
        volatile int bytesPerSecond;

        final AtomicInteger follows = new AtomicInteger();
        private final List<Socket> followers = new ArrayList<>();

        Coordinator(Lab lab, String firstEvent) throws IOException {
            this.lab = lab;
            events.add(firstEvent);
            socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            daemon("coordinator", () -> {
                while (true) {
                    try {
                        Socket follower = socket.accept();
                        daemon("coordinator connection", () -> serve(follower));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        /** The coordinator is gone from this address: connections end, and new ones are refused. */
        void close() throws IOException {
            socket.close();
            synchronized (followers) {
                for (Socket follower : followers) {
                    follower.close();
                }
            }
        }

        void add(String event) {
            synchronized (events) {
                events.add(event);
                events.notifyAll();
            }
        }

        private void serve(Socket follower) {
            int written = 0;
            String what = "";
            synchronized (followers) {
                followers.add(follower);
            }
            try (follower) {
                follower.setTcpNoDelay(true);
                String line = readLine(follower.getInputStream());
                int last = Integer.parseInt(line.substring("follow ".length()).trim());
                lab.note("coordinator: \"" + line + "\" (connection " + follows.incrementAndGet() + ")");
                OutputStream out = follower.getOutputStream();
                long nextHeartbeat = now() + 1000;
                while (true) {
                    String event = null;
                    synchronized (events) {
                        if (events.size() <= last && now() < nextHeartbeat) {
                            events.wait(Math.max(1, nextHeartbeat - now()));
                        }
                        if (events.size() > last) {
                            event = events.get(last);
                        }
                    }
                    if (event != null) {
                        last++;
                        what = "event " + last;
                        written = 0;
                        byte[] bytes = (event + "\n").getBytes(StandardCharsets.US_ASCII);
                        long startMs = now();
                        int rate = bytesPerSecond;
                        int piece = rate == 0 ? bytes.length : Math.max(1, rate / 20);
                        while (written < bytes.length) {
                            int count = Math.min(piece, bytes.length - written);
                            out.write(bytes, written, count);
                            written += count;
                            if (rate > 0 && written < bytes.length) {
                                sleep(50);
                            }
                        }
                        lab.note("coordinator: wrote " + what + ", " + bytes.length + " bytes in " + (now() - startMs)
                                + " ms, on connection from port " + follower.getPort());
                    } else if (now() >= nextHeartbeat) {
                        what = "number";
                        out.write((last + "\n").getBytes(StandardCharsets.US_ASCII));
                        nextHeartbeat = now() + 1000;
                    }
                }
            } catch (IOException | InterruptedException | RuntimeException e) {
                lab.note("coordinator: the proxy left the connection from port " + follower.getPort()
                        + " while " + what + " was being written, " + written + " bytes of it written (" + e.getMessage()
                        + ")");
            }
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("closed");
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).trim();
            }
            line.write(next);
        }
    }

    // ---------------------------------------------------------------- cache nodes

    /** A command as it arrived at a cache node. */
    record Command(
            CacheNode node, Connection connection, String id, Map<String, String> fields, byte[] body,
            long firstByteMs, long wholeMs) {
        /** Answers with a word, fields and a body. */
        void answer(String word, String answerFields, byte[] bytes) {
            connection.write((id + " " + word + " " + answerFields + " " + bytes.length + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1), bytes);
        }
    }

    /** What a cache node does with a command; called by the thread of the connection. */
    interface Handler {
        void fetch(Command command) throws Exception;
    }

    /** A connection at a cache node. */
    static final class Connection {
        final Socket socket;

        Connection(Socket socket) {
            this.socket = socket;
        }

        synchronized void write(byte[] header, byte[] body) {
            byte[] all = Arrays.copyOf(header, header.length + body.length + 2);
            System.arraycopy(body, 0, all, header.length, body.length);
            all[all.length - 2] = '\r';
            all[all.length - 1] = '\n';
            try {
                socket.getOutputStream().write(all);
            } catch (IOException e) {
                // the proxy has left
            }
        }
    }

    /** A cache node, parent or the origin, by the line protocol. */
    static final class CacheNode {
        final String id;
        private final ServerSocket socket;
        private final Handler handler;
        final AtomicInteger commands = new AtomicInteger();
        /** Connections of the proxy on which at least one byte has come. */
        final AtomicInteger connections = new AtomicInteger();
        /** While set, connections are not accepted. */
        private final Object acceptLock = new Object();
        private boolean late;
        private final List<Socket> fillers = new ArrayList<>();

        CacheNode(String id, int backlog, Handler handler) throws IOException {
            this.id = id;
            this.handler = handler;
            socket = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
            daemon("cache node " + id, this::accept);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    synchronized (acceptLock) {
                        while (late) {
                            acceptLock.wait();
                        }
                    }
                    Socket connection = socket.accept();
                    daemon("connection of " + id, () -> serve(connection));
                } catch (IOException | InterruptedException e) {
                    return;
                }
            }
        }

        /**
         * From now on connections come up late: nothing is accepted and the listener's queue is full, so that the
         * system drops the first packet of a connect; it is sent again a second later.
         */
        void connectionsComeUpLate() throws IOException {
            synchronized (acceptLock) {
                late = true;
            }
            // The accepting thread may take one more; the others stay in the queue until it is full.
            for (int i = 0; i < 8; i++) {
                Socket filler = new Socket();
                fillers.add(filler);
                try {
                    filler.connect(new InetSocketAddress("127.0.0.1", socket.getLocalPort()), 60);
                } catch (java.net.SocketTimeoutException e) {
                    filler.close();
                    return;
                }
            }
            throw new CannotRun("the queue of the listener did not fill up");
        }

        /** Connections come up at once again. */
        void connectionsComeUpAtOnce() throws IOException {
            for (Socket filler : fillers) {
                filler.close();
            }
            fillers.clear();
            synchronized (acceptLock) {
                late = false;
                acceptLock.notifyAll();
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                Connection answers = new Connection(connection);
                InputStream in = new java.io.BufferedInputStream(connection.getInputStream(), 65_536);
                boolean used = false;
                while (true) {
                    in.mark(1);
                    if (in.read() < 0) {
                        return;
                    }
                    in.reset();
                    connections.addAndGet(used ? 0 : 1);
                    used = true;
                    final long firstByteMs = now();
                    String[] words = readLine(in).split(" ");
                    if (words[0].equals("fetch")) {
                        byte[] body = in.readNBytes(Integer.parseInt(words[3]));
                        in.readNBytes(2);
                        commands.incrementAndGet();
                        handler.fetch(new Command(this, answers, words[1], fields(words[2]), body, firstByteMs, now()));
                    } else if (words[0].equals("alive") || words[0].equals("stats")) {
                        answers.write((words[1] + " READY - 0\r\n").getBytes(StandardCharsets.ISO_8859_1), new byte[0]);
                    }
                }
            } catch (Exception e) {
                // the proxy has left
            }
        }

        private static Map<String, String> fields(String text) {
            Map<String, String> fields = new HashMap<>();
            for (String field : text.split(",")) {
                int separator = field.indexOf('=');
                if (separator > 0) {
                    fields.put(field.substring(0, separator), field.substring(separator + 1));
                }
            }
            return fields;
        }
    }

    /** Bytes that any part of any object has here: their first bytes tell object and part. */
    static byte[] content(String object, String part, int length) {
        byte[] bytes = new byte[length];
        byte[] name = (object + "/" + part + " ").getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < length; i++) {
            bytes[i] = name[i % name.length];
        }
        return bytes;
    }

    // ---------------------------------------------------------------- clients

    /** The answer to a request. */
    record Answer(int status, Map<String, String> headers, byte[] body, int protocolStatus, long atMs) {
        boolean served() {
            return protocolStatus == 0 && status == 200;
        }

        boolean refused() {
            return protocolStatus == 2 || status == 429 || status == 503;
        }

        String text() {
            return served() ? "served" : refused() ? "refused" : "failed (status " + status + ")";
        }
    }

    private static final AtomicLong NEXT_REQUEST = new AtomicLong(0x9b1f03aa5c000000L);

    static String newRequestId() {
        return String.format("%016x", NEXT_REQUEST.incrementAndGet());
    }

    /** A client's connection: FastCGI, role Responder, with KEEP_CONN. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final Map<Integer, CompletableFuture<Answer>> open = new HashMap<>();
        private final Map<Integer, ByteArrayOutputStream> output = new HashMap<>();
        private int nextId;
        volatile boolean closed;
        volatile long closedAtMs;
        /** How fast the client reads, in bytes a second; 0: at full speed; below 0: not at all. */
        private final int readBytesPerSecond;

        Client(InetSocketAddress proxy, int readBytesPerSecond, int receiveBuffer) throws IOException {
            this.readBytesPerSecond = readBytesPerSecond;
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            socket.connect(proxy, 5000);
            if (readBytesPerSecond >= 0) {
                daemon("client", this::read);
            }
        }

        Client(InetSocketAddress proxy) throws IOException {
            this(proxy, 0, 0);
        }

        /** The bytes of a request on the wire. */
        byte[] encode(int id, Map<String, String> params, byte[] body) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            record(bytes, 1, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
            record(bytes, 4, id, pairs(params));
            record(bytes, 4, id, new byte[0]);
            if (body.length > 0) {
                record(bytes, 5, id, body);
            }
            record(bytes, 5, id, new byte[0]);
            return bytes.toByteArray();
        }

        /** FastCGI name-value pairs; names and values are shorter than 128 bytes. */
        static byte[] pairs(Map<String, String> params) {
            ByteArrayOutputStream pairs = new ByteArrayOutputStream();
            params.forEach((name, value) -> {
                pairs.write(name.length());
                pairs.write(value.length());
                pairs.writeBytes((name + value).getBytes(StandardCharsets.ISO_8859_1));
            });
            return pairs.toByteArray();
        }

        static void record(ByteArrayOutputStream bytes, int type, int id, byte[] content) {
            bytes.writeBytes(new byte[] {
                1, (byte) type, (byte) (id >> 8), (byte) id, (byte) (content.length >> 8), (byte) content.length, 0, 0
            });
            bytes.writeBytes(content);
        }

        /** Opens a request without sending it; the future completes with the answer, or fails if there is none. */
        synchronized int open(CompletableFuture<Answer> answer) {
            do {
                nextId = nextId % 60_000 + 1;
            } while (open.containsKey(nextId));
            open.put(nextId, answer);
            return nextId;
        }

        /** Sends a request at once. */
        CompletableFuture<Answer> send(Map<String, String> params, byte[] body) throws IOException {
            CompletableFuture<Answer> answer = new CompletableFuture<>();
            byte[] bytes = encode(open(answer), params, body);
            synchronized (socket) {
                socket.getOutputStream().write(bytes);
            }
            return answer;
        }

        /** The parameters of a request. */
        static Map<String, String> params(String type, String id, String object, int part, int group, int timeoutMs) {
            Map<String, String> params = new LinkedHashMap<>();
            params.put("SCRIPT_NAME", "/invoke/" + type);
            params.put("REQUEST_METHOD", "POST");
            params.put("HTTP_X_REQUEST_ID", id);
            params.put("HTTP_X_TIMEOUT_MS", Integer.toString(timeoutMs));
            params.put("HTTP_X_OBJECT", object);
            params.put("HTTP_X_N", Integer.toString(part));
            params.put("HTTP_X_SHARD", Integer.toString(group));
            return params;
        }

        private void read() {
            String end = "end of stream";
            try {
                InputStream in = socket.getInputStream();
                ByteArrayOutputStream buffer = new ByteArrayOutputStream();
                byte[] piece = new byte[readBytesPerSecond == 0 ? 65_536 : Math.max(1, readBytesPerSecond / 50)];
                long startNs = System.nanoTime();
                long readBytes = 0;
                for (int count = in.read(piece); count >= 0; count = in.read(piece)) {
                    buffer.write(piece, 0, count);
                    buffer = parse(buffer);
                    if (readBytesPerSecond > 0) {
                        readBytes += count;
                        // Never above the rate, and no burst to catch up after a pause.
                        long dueNs = startNs + readBytes * 1_000_000_000L / readBytesPerSecond;
                        long waitNs = dueNs - System.nanoTime();
                        if (waitNs > 0) {
                            TimeUnit.NANOSECONDS.sleep(waitNs);
                        } else {
                            startNs = System.nanoTime();
                            readBytes = 0;
                        }
                    }
                }
            } catch (IOException | InterruptedException e) {
                end = e.getMessage();
            }
            closedAtMs = now();
            closed = true;
            List<CompletableFuture<Answer>> left;
            synchronized (this) {
                left = new ArrayList<>(open.values());
                open.clear();
            }
            String reason = end;
            left.forEach(answer -> answer.completeExceptionally(new EOFException("no answer: " + reason)));
        }

        private ByteArrayOutputStream parse(ByteArrayOutputStream buffer) {
            byte[] bytes = buffer.toByteArray();
            int offset = 0;
            while (bytes.length - offset >= 8) {
                int length = (bytes[offset + 4] & 0xff) << 8 | bytes[offset + 5] & 0xff;
                int end = offset + 8 + length + (bytes[offset + 6] & 0xff);
                if (end > bytes.length) {
                    break;
                }
                int id = (bytes[offset + 2] & 0xff) << 8 | bytes[offset + 3] & 0xff;
                handle(bytes[offset + 1], id, Arrays.copyOfRange(bytes, offset + 8, offset + 8 + length));
                offset = end;
            }
            ByteArrayOutputStream rest = new ByteArrayOutputStream();
            rest.write(bytes, offset, bytes.length - offset);
            return rest;
        }

        private synchronized void handle(int type, int id, byte[] content) {
            if (type == 6) {
                output.computeIfAbsent(id, key -> new ByteArrayOutputStream()).writeBytes(content);
            } else if (type == 3) {
                ByteArrayOutputStream out = output.remove(id);
                CompletableFuture<Answer> answer = open.remove(id);
                if (answer != null) {
                    answer.complete(decode(out == null ? new byte[0] : out.toByteArray(), content[4]));
                }
            }
        }

        private static Answer decode(byte[] bytes, int protocolStatus) {
            String text = new String(bytes, StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            Map<String, String> headers = new HashMap<>();
            int status = 0;
            byte[] body = new byte[0];
            if (end >= 0) {
                for (String line : text.substring(0, end).split("\r\n")) {
                    headers.put(line.substring(0, line.indexOf(':')), line.substring(line.indexOf(':') + 1).trim());
                }
                status = Integer.parseInt(headers.getOrDefault("Status", "0").split(" ")[0]);
                body = Arrays.copyOfRange(bytes, end + 4, bytes.length);
            }
            return new Answer(status, headers, body, protocolStatus, now());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Waits for an answer; null if the connection ended without one, or none came in time. */
    static Answer await(CompletableFuture<Answer> answer, long timeoutMs) {
        try {
            return answer.get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            return null;
        }
    }
}
