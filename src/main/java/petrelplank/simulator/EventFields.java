package petrelplank.simulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import petrelplank.routing.Member;
import petrelplank.routing.Note;
import petrelplank.routing.State;
import petrelplank.routing.Status;
import petrelplank.settings.Fields;
import petrelplank.settings.FormatException;

/** Decodes the typed fields of the simulator's events. */
final class EventFields {
    private static final Status[] STATUS = {
        null,
        Status.OK,
        Status.ERROR,
        Status.FULL,
        Status.TIMEOUT,
        Status.CONNECT_FAILED,
        Status.RESET,
        Status.CANCELLED,
        Status.MOOT,
        Status.MISS
    };

    private static final Note[] NOTE = Note.values();

    private EventFields() {}

    static Status status(Fields f) {
        long code = f.whole("rc");
        if (code < 1 || code >= STATUS.length) {
            throw new FormatException(f.where() + ": rc " + code + " is none of the endings");
        }
        return STATUS[(int) code];
    }

    static Note note(Fields f) {
        long code = f.whole("note", 0);
        return code < 0 || code >= NOTE.length ? Note.NONE : NOTE[(int) code];
    }

    static List<Member> members(Fields f) {
        List<Map<String, Object>> entries = f.objects("nodes-list");
        List<Member> members = new ArrayList<>(entries.size());
        for (int i = 0; i < entries.size(); i++) {
            Fields e = new Fields(entries.get(i), f.where() + " entry " + i);
            String mode = e.text("mode");
            State state = switch (mode) {
                case "up" -> State.UP;
                case "draining" -> State.DRAINING;
                case "removed" -> State.GONE;
                default -> throw new FormatException(e.where() + ": mode \"" + mode + "\" is unknown");
            };
            members.add(new Member(
                    e.text("cache"),
                    e.text("rack-zone"),
                    e.text("hw"),
                    (int) e.whole("block", 0),
                    state,
                    e.number("share", 1),
                    e.whole("born-us", 0)));
        }
        return members;
    }

    /** A request's tenant; null where the site tells none, which is said by 0, too. */
    static String tenant(Fields f) {
        return f.has("billing") && !f.is("billing", 0) ? f.text("billing") : null;
    }
}
