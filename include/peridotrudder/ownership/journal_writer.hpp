#pragma once

/// @file
/// Writes an owner's batches to its journal, in order and each exactly once.

#include "peridotrudder/ownership/log_port.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

/// Events that the writer reports.
struct journal_events {
    /// The pending batch, or the claim, is written.
    std::function<void()> m_written;
    /// A successor has claimed the journal: this writer can write nothing more.
    std::function<void()> m_fenced;
};

struct journal_options {
    std::string m_topic;
    std::string m_producer;
    std::uint64_t m_epoch{0};
    /// Time after which another attempt is sent in parallel to one without an answer (hedging);
    /// doubled with each attempt.
    milliseconds m_hedge_delay{120};
    milliseconds m_longest_hedge_delay{800};
    /// Pause after a refusal.
    milliseconds m_refused_pause{40};
};

/// Has at most one append pending. All attempts of an append have the same sequence number, so that
/// its records are added only once. Not thread-safe; calls back on the loop of its port.
class journal_writer {
public:
    static std::unique_ptr<journal_writer> create(journal_options options, log_port port,
                                                  journal_events events);

    /// Fences off the appends of all earlier owners; must succeed before anything is read or
    /// written.
    void claim(time_point now);
    /// Writes a batch; no other append may be pending.
    void write(std::vector<keyed_record> records, time_point now);
    bool busy() const { return m_request.has_value(); }
    /// Sends the next attempt of an append without an answer when it is due.
    void tick(time_point now);

    /// Returns when the newest successful append was sent: until then this owner certainly had no
    /// successor.
    time_point proven_at() const { return m_proven_at; }
    /// Returns since when appends have failed; nothing while they succeed.
    std::optional<time_point> failing_since() const { return m_failing_since; }

private:
    journal_writer(journal_options options, log_port port, journal_events events);

    void start_append(std::vector<keyed_record> records, time_point now);
    void send_attempt(time_point now);
    void handle_answer(std::uint64_t sequence, time_point sent_at, const append_answer& answer);

    journal_options m_options;
    log_port m_port;
    journal_events m_events;
    std::optional<append_request> m_request;
    std::uint64_t m_next_sequence{1};
    time_point m_next_attempt;
    milliseconds m_delay{0};
    time_point m_started_at;
    time_point m_proven_at;
    std::optional<time_point> m_failing_since;
    bool m_fenced{false};
    /// Callbacks of pending attempts hold a weak pointer to it, to detect that the writer is
    /// destroyed.
    std::shared_ptr<journal_writer*> m_self;
};

} // namespace peridotrudder
