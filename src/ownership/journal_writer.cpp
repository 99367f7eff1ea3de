#include "peridotrudder/ownership/journal_writer.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

/// Key of the record that a claim appends. It has no value, so it leaves nothing in the log.
constexpr std::string_view claim_key = "claim";
/// An append that takes longer than this counts as failing.
constexpr milliseconds slow_append{500};

} // namespace

std::unique_ptr<journal_writer> journal_writer::create(journal_options options, log_port port,
                                                       journal_events events)
{
    return std::unique_ptr<journal_writer>{
        new journal_writer{std::move(options), std::move(port), std::move(events)}};
}

journal_writer::journal_writer(journal_options options, log_port port, journal_events events)
    : m_options{std::move(options)},
      m_port{std::move(port)},
      m_events{std::move(events)},
      m_self{std::make_shared<journal_writer*>(this)}
{
}

void journal_writer::claim(time_point now)
{
    // Not an empty append: whether that uses up its sequence number is for the service to say. If
    // the number of the first batch were corrected, a late attempt under the wrong one would take
    // the place of the second batch, which then counted as written.
    start_append({{std::string{claim_key}, std::nullopt, 0}}, now);
}

void journal_writer::write(std::vector<keyed_record> records, time_point now)
{
    start_append(std::move(records), now);
}

void journal_writer::start_append(std::vector<keyed_record> records, time_point now)
{
    append_request request;
    request.m_topic = m_options.m_topic;
    request.m_records = std::move(records);
    request.m_identity = append_identity{m_options.m_producer, m_options.m_epoch, m_next_sequence};
    m_request = std::move(request);
    m_started_at = now;
    m_delay = m_options.m_hedge_delay;
    send_attempt(now);
}

void journal_writer::send_attempt(time_point now)
{
    m_next_attempt = now + m_delay;
    m_delay = std::min(m_delay * 2, m_options.m_longest_hedge_delay);
    const auto sequence = m_request->m_identity->m_sequence;
    const std::weak_ptr<journal_writer*> self = m_self;
    m_port.m_append(*m_request, [self, sequence, now](const append_answer& answer) {
        if (const auto writer = self.lock()) {
            (*writer)->handle_answer(sequence, now, answer);
        }
    });
}

void journal_writer::handle_answer(std::uint64_t sequence, time_point sent_at,
                                   const append_answer& answer)
{
    const bool outdated = !m_request || m_request->m_identity->m_sequence != sequence;
    if (m_fenced || (outdated && answer.m_result != log_result::fenced)) {
        return;
    }
    switch (answer.m_result) {
    case log_result::ok:
        m_proven_at = std::max(m_proven_at, sent_at);
        m_failing_since.reset();
        ++m_next_sequence;
        m_request.reset();
        m_events.m_written();
        return;
    case log_result::fenced:
        m_fenced = true;
        m_events.m_fenced();
        return;
    case log_result::out_of_sequence:
        // Only this owner writes in its epoch, so the sequence number of the service is right.
        m_next_sequence = answer.m_expected_sequence;
        m_request->m_identity->m_sequence = m_next_sequence;
        m_next_attempt = sent_at;
        return;
    case log_result::nothing_done:
    case log_result::moved_on:
    case log_result::trimmed:
    case log_result::unanswered:
    case log_result::invalid:
        if (!m_failing_since) {
            m_failing_since = m_started_at;
        }
        m_next_attempt = std::min(m_next_attempt, sent_at + m_options.m_refused_pause);
        return;
    }
}

void journal_writer::tick(time_point now)
{
    if (!m_request || m_fenced) {
        return;
    }
    if (!m_failing_since && now - m_started_at > slow_append) {
        m_failing_since = m_started_at;
    }
    if (now >= m_next_attempt) {
        send_attempt(now);
    }
}

} // namespace peridotrudder
