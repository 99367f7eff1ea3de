#include "peridotrudder/ownership/topic_follower.hpp"

#include <algorithm>

namespace peridotrudder {

namespace {

/// Copies of one read that may be without an answer at a time.
constexpr int most_copies = 6;

} // namespace

std::unique_ptr<topic_follower> topic_follower::create(follower_options options, log_port port,
                                                       loop_port loop, follower_events events)
{
    return std::unique_ptr<topic_follower>{new topic_follower{std::move(options), std::move(port),
                                                              std::move(loop), std::move(events)}};
}

topic_follower::topic_follower(follower_options options, log_port port, loop_port loop,
                               follower_events events)
    : m_options{std::move(options)},
      m_port{std::move(port)},
      m_loop{std::move(loop)},
      m_events{std::move(events)},
      m_self{std::make_shared<topic_follower*>(this)}
{
}

void topic_follower::start()
{
    read_snapshot();
}

void topic_follower::schedule(milliseconds pause, void (topic_follower::*next_read)())
{
    const std::weak_ptr<topic_follower*> self = m_self;
    m_loop.m_after(pause, [self, next_read] {
        if (const auto follower = self.lock()) {
            ((**follower).*next_read)();
        }
    });
}

void topic_follower::read_snapshot()
{
    ++m_round;
    m_open_copies = 0;
    send_snapshot_read();
    hedge_after(m_options.m_hedge_delay, true);
}

void topic_follower::read_changes()
{
    ++m_round;
    m_open_copies = 0;
    send_changes_read(m_next_wait);
    hedge_after(m_next_wait + m_options.m_hedge_delay, false);
}

void topic_follower::hedge_after(milliseconds delay, bool snapshot)
{
    if (m_options.m_hedge_delay.count() == 0) {
        return;
    }
    const std::weak_ptr<topic_follower*> self = m_self;
    m_loop.m_after(delay, [self, round = m_round, snapshot] {
        const auto alive = self.lock();
        if (!alive || (*alive)->m_round != round) {
            return;
        }
        auto& follower = **alive;
        if (follower.m_open_copies < most_copies) {
            snapshot ? follower.send_snapshot_read() : follower.send_changes_read(milliseconds{0});
        }
        follower.hedge_after(follower.m_options.m_hedge_delay, snapshot);
    });
}

void topic_follower::send_snapshot_read()
{
    ++m_open_copies;
    const std::weak_ptr<topic_follower*> self = m_self;
    const auto sent_at = m_loop.m_now().m_at;
    m_port.m_newest(m_options.m_topic,
                    [self, round = m_round, sent_at](const newest_answer& answer) {
                        const auto follower = self.lock();
                        if (follower && (*follower)->m_round == round) {
                            (*follower)->handle_snapshot(answer, sent_at);
                        }
                    });
}

void topic_follower::send_changes_read(milliseconds wait)
{
    ++m_open_copies;
    read_request request;
    request.m_topic = m_options.m_topic;
    request.m_from = m_next;
    request.m_wait = wait;
    const std::weak_ptr<topic_follower*> self = m_self;
    const auto sent_at = m_loop.m_now().m_at;
    m_port.m_read(request, [self, round = m_round, sent_at, wait](const read_answer& answer) {
        const auto follower = self.lock();
        if (follower && (*follower)->m_round == round) {
            (*follower)->handle_changes(answer, sent_at, wait);
        }
    });
}

bool topic_follower::fails_with_copies_left(log_result result)
{
    m_events.m_failed(result);
    if (--m_open_copies > 0) {
        return true;
    }
    ++m_round;
    // Once reads succeed again, the next one shows at once what was written meanwhile.
    m_next_wait = m_options.m_hedge_delay.count() > 0 ? milliseconds{0} : m_options.m_wait;
    return false;
}

void topic_follower::handle_snapshot(const newest_answer& answer, time_point sent_at)
{
    if (answer.m_result != log_result::ok) {
        if (!fails_with_copies_left(answer.m_result)) {
            schedule(m_options.m_retry_pause, &topic_follower::read_snapshot);
        }
        return;
    }
    ++m_round;
    m_answered_at = m_loop.m_now().m_at;
    m_current_at = std::max(m_current_at, sent_at);
    m_next = answer.m_end;
    m_next_wait = m_options.m_hedge_delay.count() > 0 ? milliseconds{0} : m_options.m_wait;
    const std::weak_ptr<topic_follower*> self = m_self;
    m_events.m_end(m_next);
    m_events.m_snapshot(answer.m_records);
    // The callback may have destroyed this follower.
    if (!self.expired()) {
        schedule(m_options.m_pause, &topic_follower::read_changes);
    }
}

void topic_follower::handle_changes(const read_answer& answer, time_point sent_at,
                                    milliseconds wait)
{
    if (answer.m_result == log_result::trimmed) {
        read_snapshot();
        return;
    }
    if (answer.m_result != log_result::ok) {
        if (!fails_with_copies_left(answer.m_result)) {
            schedule(m_options.m_retry_pause, &topic_follower::read_changes);
        }
        return;
    }
    ++m_round;
    m_answered_at = m_loop.m_now().m_at;
    // The service answers without records only once it has waited in vain.
    const auto current_at = answer.m_records.empty() ? sent_at + wait : sent_at;
    m_current_at = std::max(m_current_at, std::min(current_at, m_answered_at));
    m_next += answer.m_records.size();
    // The age of records says nothing of what was written since: that shows a read without a wait.
    const bool ask_at_once = m_options.m_hedge_delay.count() > 0 && !answer.m_records.empty();
    m_next_wait = ask_at_once ? milliseconds{0} : m_options.m_wait;
    const std::weak_ptr<topic_follower*> self = m_self;
    m_events.m_end(m_next);
    if (!answer.m_records.empty()) {
        m_events.m_changes(answer.m_records);
    }
    if (!self.expired()) {
        schedule(m_options.m_pause, &topic_follower::read_changes);
    }
}

} // namespace peridotrudder
