package petrelplank.analysis;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/** Unix times in microseconds: conversion and text. */
public final class UnixTime {
    /** Microseconds in a second. */
    public static final long SECOND_US = 1_000_000;

    private static final long MILLISECOND_US = 1_000;

    private static final DateTimeFormatter TIME_OF_DAY =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

    private UnixTime() {}

    /**
     * The Unix second that a time lies in.
     *
     * @param unixUs Unix microseconds
     * @return Unix seconds
     */
    public static long second(long unixUs) {
        return unixUs / SECOND_US;
    }

    /**
     * The time of day in UTC, to the millisecond.
     *
     * @param unixUs Unix microseconds
     * @return as in 12:00:09.250
     */
    public static String timeOfDay(long unixUs) {
        return TIME_OF_DAY.format(Instant.ofEpochMilli(unixUs / MILLISECOND_US));
    }

    /**
     * The date in UTC.
     *
     * @param unixUs Unix microseconds
     * @return as in 2026-01-31
     */
    public static String date(long unixUs) {
        String timestamp = Instant.ofEpochMilli(unixUs / MILLISECOND_US).toString();
        return timestamp.substring(0, "yyyy-mm-dd".length());
    }
}
