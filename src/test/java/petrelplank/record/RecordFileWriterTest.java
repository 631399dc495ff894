package petrelplank.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RecordFileWriterTest {
    private static final long FROM = 1_764_576_000_000_000L;

    @TempDir
    Path folder;

    private RecordSettings settings() {
        return RecordSettings.in(folder);
    }

    private static List<Entry> read(Path place, List<String> troubles) throws IOException {
        List<Entry> all = new ArrayList<>();
        RecordReader reader = new RecordReader();
        reader.read(List.of(place), all::add);
        reader.errors().forEach(error -> troubles.add(error.message()));
        return all;
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.sorted().toList();
        }
    }

    /** Every type in the schema comes back as it was, so that a new one can't be forgotten here. */
    @Test
    void everyEventComesBackAsItWas() throws IOException {
        Set<Class<?>> types = new HashSet<>(Arrays.asList(Event.class.getPermittedSubclasses()));
        SampleEvents.EVENTS.forEach(e -> types.remove(e.getClass()));
        assertEquals(Set.of(), types);
        DirectSink sink = new DirectSink(settings(), "front-1", 42);
        SampleEvents.EVENTS.forEach(e -> sink.record(FROM, e));
        sink.close();
        List<String> troubles = new ArrayList<>();
        List<Entry> back = read(folder, troubles);
        assertEquals(SampleEvents.EVENTS, back.stream().map(Entry::event).toList());
        assertEquals(List.of(), troubles);
        for (int i = 0; i < back.size(); i++) {
            assertEquals(new Entry("front-1", 42, i, FROM, SampleEvents.EVENTS.get(i)), back.get(i));
        }
    }

    /** Killed while it wrote: whatever byte of the last block it stopped at, the blocks before are all there. */
    @Test
    void fileCutAtEveryByteOfItsLastBlockLosesThatBlockAlone() throws IOException {
        RecordFileWriter log = new RecordFileWriter(settings(), "front-1", 42);
        long number = 0;
        for (int block = 0; block < 3; block++) {
            for (Event event : SampleEvents.EVENTS) {
                log.append(new Entry("front-1", 42, number++, FROM, event));
            }
            log.flush();
        }
        Path file = files().get(0);
        long two = Files.size(file);
        for (Event event : SampleEvents.EVENTS) {
            log.append(new Entry("front-1", 42, number++, FROM, event));
        }
        log.close();
        byte[] whole = Files.readAllBytes(file);
        assertTrue(whole.length > two);
        for (int cut = (int) two; cut < whole.length; cut++) {
            Files.write(file, Arrays.copyOf(whole, cut));
            List<String> troubles = new ArrayList<>();
            assertEquals(3 * SampleEvents.EVENTS.size(), read(file, troubles).size(), "cut at " + cut);
            assertEquals(cut == two ? 0 : 1, troubles.size(), "cut at " + cut + " " + troubles);
        }
    }

    @Test
    void spoiltBlockIsPassedOverAndNamed() throws IOException {
        RecordFileWriter log = new RecordFileWriter(settings(), "front-1", 42);
        long number = 0;
        long[] ends = new long[3];
        for (int block = 0; block < 3; block++) {
            for (Event event : SampleEvents.EVENTS) {
                log.append(new Entry("front-1", 42, number++, FROM, event));
            }
            log.flush();
            ends[block] = Files.size(files().get(0));
        }
        log.close();
        Path file = files().get(0);
        byte[] bytes = Files.readAllBytes(file);
        for (int i = (int) ends[0] + 8; i < ends[0] + 40; i++) {
            bytes[i] ^= 0x55;
        }
        Files.write(file, bytes);
        List<String> troubles = new ArrayList<>();
        List<Entry> back = read(folder, troubles);
        assertEquals(2 * SampleEvents.EVENTS.size(), back.size());
        assertEquals(1, troubles.size());
        assertTrue(troubles.get(0).startsWith(file + ": a block at byte "), troubles.toString());
    }

    @Test
    void whatIsNoRecordFileIsNamedAndTheRestIsRead() throws IOException {
        DirectSink sink = new DirectSink(settings(), "front-1", 42);
        sink.record(FROM, new Event.ProxyStopped());
        sink.close();
        Files.writeString(folder.resolve("notes.txt"), "not one of ours");
        Files.write(folder.resolve("zero"), new byte[0]);
        List<String> troubles = new ArrayList<>();
        assertEquals(1, read(folder, troubles).size());
        assertEquals(2, troubles.size());
        assertTrue(troubles.get(0).contains("notes.txt: no record file"), troubles.toString());
    }

    @Test
    void filesFollowEachOtherBySizeAndAgeAndTheOldestGo() throws IOException {
        RecordSettings small = new RecordSettings(folder, 64 << 10, 10_000_000, 128 << 10, 16, 1, true);
        RecordFileWriter log = new RecordFileWriter(small, "front-1", 42);
        for (int i = 0; i < 20_000; i++) {
            log.append(new Entry("front-1", 42, i, FROM + i, new Event.ClientDisconnected(i * 0x9e3779b97f4a7c15L)));
        }
        log.close();
        long total = 0;
        for (Path file : files()) {
            total += Files.size(file);
        }
        assertTrue(total <= (128 << 10) + (16 << 10), "in all " + total);
        List<Entry> back = read(folder, new ArrayList<>());
        assertEquals(19_999, back.get(back.size() - 1).number());
        assertTrue(back.get(0).number() > 0);
        RecordFileWriter next = new RecordFileWriter(RecordSettings.in(folder.resolve("aged")), "front-1", 43);
        next.append(new Entry("front-1", 43, 0, FROM, new Event.ProxyStopped()));
        next.append(new Entry("front-1", 43, 1, FROM + 3_600_000_001L, new Event.ProxyStopped()));
        next.close();
        try (Stream<Path> aged = Files.list(folder.resolve("aged"))) {
            assertEquals(2, aged.count());
        }
    }

    /** The event thread never waits: what finds no room is lost, the gap shows in the numbers, and the count is told. */
    @Test
    void writerSlowerThanTheFrontLosesEventsAndSaysSo() throws IOException, InterruptedException {
        CountDownLatch go = new CountDownLatch(1);
        RecordSettings tight = new RecordSettings(folder, 64 << 10, 10_000_000, 1 << 20, 16, 1, false);
        RecordFileWriter stuck = new RecordFileWriter(tight, "front-1", 42, file -> {
            try {
                go.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            return Files.newOutputStream(file);
        });
        FileSink sink = new FileSink(tight.queued(), "front-1", 42, stuck);
        for (int i = 0; i < 1000; i++) {
            sink.record(FROM + i, new Event.ClientDisconnected(i));
        }
        go.countDown();
        long lost = -1;
        for (int tries = 0; lost < 0; tries++) {
            // Room comes as the writer goes on; the next event then carries the count.
            sink.record(FROM + 2000 + tries, new Event.EndpointRecovered("box"));
            lost = sink.unreportedLosses() > 0 ? -1 : 0;
        }
        sink.close();
        List<Entry> back = read(folder, new ArrayList<>());
        long told = back.stream()
                .filter(e -> e.event() instanceof Event.EventsLost)
                .mapToLong(e -> ((Event.EventsLost) e.event()).events())
                .sum();
        long last = back.get(back.size() - 1).number();
        assertTrue(told >= 1000 - 2 * 16 - 512, "told " + told);
        assertEquals(last + 1 - back.size(), told);
    }

    /** Another front's name may begin with this one's: its files stay, whatever the bound. */
    @Test
    void onlyTheFrontsOwnOldFilesGo() throws IOException {
        RecordSettings small = new RecordSettings(folder, 64 << 10, 10_000_000, 128 << 10, 16, 1, true);
        RecordFileWriter other = new RecordFileWriter(small, "front-1.branch1", 7);
        other.append(new Entry("front-1.branch1", 7, 0, FROM, new Event.ProxyStopped()));
        other.close();
        RecordFileWriter log = new RecordFileWriter(small, "front", 42);
        for (int i = 0; i < 20_000; i++) {
            log.append(new Entry("front", 42, i, FROM + i, new Event.ClientDisconnected(i * 0x9e3779b97f4a7c15L)));
        }
        log.close();
        List<Entry> back = read(folder, new ArrayList<>());
        assertEquals(1, back.stream().filter(e -> e.incarnation() == 7).count());
        assertTrue(back.size() < 20_000);
        RecordFileWriter odd = new RecordFileWriter(RecordSettings.in(folder.resolve("odd")), "../a b", 1);
        odd.append(new Entry("../a b", 1, 0, FROM, new Event.ProxyStopped()));
        odd.close();
        assertEquals(
                "../a b", read(folder.resolve("odd"), new ArrayList<>()).get(0).proxy());
    }

    @Test
    void sameEntriesGiveTheSameBytes() throws IOException {
        byte[][] bytes = new byte[2][];
        for (int i = 0; i < bytes.length; i++) {
            DirectSink sink = new DirectSink(RecordSettings.in(folder.resolve("run" + i)), "front-1", 42);
            SampleEvents.EVENTS.forEach(e -> sink.record(FROM, e));
            sink.close();
            try (Stream<Path> all = Files.list(folder.resolve("run" + i))) {
                bytes[i] = Files.readAllBytes(all.findFirst().orElseThrow());
            }
        }
        assertTrue(Arrays.equals(bytes[0], bytes[1]));
    }

    /**
     * A full disk costs records, and neither the front nor what comes once there is room again. All that is lost is
     * counted, what stood in memory too, and the disk is not filled with empty files.
     */
    @Test
    void fullDiskIsSurvivedAndWhatComesAfterIsWritten() throws IOException {
        boolean[] full = {false};
        RecordFileWriter log = new RecordFileWriter(settings(), "front-1", 42, file -> {
            OutputStream out = Files.newOutputStream(file);
            return new OutputStream() {
                @Override
                public void write(int b) throws IOException {
                    write(new byte[] {(byte) b}, 0, 1);
                }

                @Override
                public void write(byte[] bytes, int from, int length) throws IOException {
                    if (full[0]) {
                        throw new IOException("No space left on device");
                    }
                    out.write(bytes, from, length);
                }

                @Override
                public void close() throws IOException {
                    out.close();
                }
            };
        });
        int failed = 0;
        long lost = 0;
        for (int i = 0; i < 3000; i++) {
            full[0] = i >= 1000 && i < 2000;
            try {
                log.append(new Entry("front-1", 42, i, FROM + i * 100_000L, new Event.ProxyStopped()));
            } catch (IOException e) {
                assertEquals("No space left on device", e.getMessage());
                failed++;
            }
            lost += log.takeLost();
        }
        log.close();
        List<Entry> back = read(folder, new ArrayList<>());
        assertTrue(failed > 50 && failed <= 101, "failed " + failed);
        assertEquals(3000, back.size() + lost);
        assertEquals(990, back.stream().filter(e -> e.number() >= 2010).count());
        assertTrue(files().size() <= 3, files().toString());
    }

    /** What the disk does not take is told in the records too, once it takes them again. */
    @Test
    void whatTheDiskLostIsToldInTheRecords() throws IOException, InterruptedException {
        AtomicBoolean full = new AtomicBoolean(true);
        RecordSettings quick = new RecordSettings(folder, 64 << 10, 10_000_000, 1 << 20, 64, 1, false);
        RecordFileWriter log = new RecordFileWriter(quick, "front-1", 42, file -> {
            if (full.get()) {
                throw new IOException("No space left on device");
            }
            return Files.newOutputStream(file);
        });
        FileSink sink = new FileSink(quick.queued(), "front-1", 42, log);
        for (int i = 0; i < 40; i++) {
            sink.record(FROM + i, new Event.ClientDisconnected(i));
        }
        while (sink.unreportedLosses() < 40) {
            Thread.onSpinWait();
        }
        full.set(false);
        sink.record(FROM + 2_000_000, new Event.ProxyStopped());
        sink.close();
        List<Entry> back = read(folder, new ArrayList<>());
        assertEquals(
                List.of(new Event.EventsLost(40), new Event.ProxyStopped()),
                back.stream().map(Entry::event).toList());
    }
}
