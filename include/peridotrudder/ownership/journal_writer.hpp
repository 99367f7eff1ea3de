#pragma once

/// @file
/// Writes an owner's batches to its journal, one after the other and each exactly once.

#include "peridotrudder/ownership/log_port.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotrudder {

/// What the writer reports.
struct journal_events {
    /// The batch under way is written.
    std::function<void()> m_written;
    /// A successor has claimed the journal: nothing more can be written.
    std::function<void()> m_fenced;
};

struct journal_options {
    std::string m_topic;
    std::string m_producer;
    std::uint64_t m_epoch{0};
    /// A further attempt is made beside one that has not answered for so long; doubled each time.
    milliseconds m_hedge_delay{120};
    milliseconds m_longest_hedge_delay{800};
    /// Pause after a refusal.
    milliseconds m_refused_pause{40};
};

/// One append under way at a time. Attempts of an append repeat its sequence number, so that any
/// number of them adds its records once. Not thread-safe; calls back on the loop of its port.
class journal_writer {
public:
    static std::unique_ptr<journal_writer> create(journal_options options, log_port port,
                                                  journal_events events);

    /// Bars all earlier owners' appends; must succeed before anything is read or written.
    void claim(time_point now);
    /// Writes a batch; nothing may be under way.
    void write(std::vector<keyed_record> records, time_point now);
    bool busy() const { return m_request.has_value(); }
    /// Repeats what has no answer.
    void tick(time_point now);

    /// When the newest append that succeeded was sent: until then this owner surely had no
    /// successor.
    time_point proven_at() const { return m_proven_at; }
    /// Since when appends have failed; nothing while they succeed.
    std::optional<time_point> failing_since() const { return m_failing_since; }

private:
    journal_writer(journal_options options, log_port port, journal_events events);

    void begin(std::vector<keyed_record> records, time_point now);
    void attempt(time_point now);
    void take(std::uint64_t sequence, time_point sent_at, const append_answer& answer);

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
    /// Outlives the writer in the answers of attempts under way.
    std::shared_ptr<journal_writer*> m_self;
};

} // namespace peridotrudder
