#include "peridotrudder/ownership/topic_follower.hpp"

namespace peridotrudder {

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
    const std::weak_ptr<topic_follower*> self = m_self;
    m_port.m_newest(m_options.m_topic, [self](const newest_answer& answer) {
        if (const auto follower = self.lock()) {
            (*follower)->handle_snapshot(answer);
        }
    });
}

void topic_follower::handle_snapshot(const newest_answer& answer)
{
    if (answer.m_result != log_result::ok) {
        m_events.m_failed(answer.m_result);
        schedule(m_options.m_retry_pause, &topic_follower::read_snapshot);
        return;
    }
    m_answered_at = m_loop.m_now().m_at;
    m_next = answer.m_end;
    const std::weak_ptr<topic_follower*> self = m_self;
    m_events.m_end(m_next);
    m_events.m_snapshot(answer.m_records);
    // The callback may have destroyed this follower.
    if (!self.expired()) {
        schedule(m_options.m_pause, &topic_follower::read_changes);
    }
}

void topic_follower::read_changes()
{
    read_request request;
    request.m_topic = m_options.m_topic;
    request.m_from = m_next;
    request.m_wait = m_options.m_wait;
    const std::weak_ptr<topic_follower*> self = m_self;
    m_port.m_read(request, [self](const read_answer& answer) {
        if (const auto follower = self.lock()) {
            (*follower)->handle_changes(answer);
        }
    });
}

void topic_follower::handle_changes(const read_answer& answer)
{
    if (answer.m_result == log_result::trimmed) {
        read_snapshot();
        return;
    }
    if (answer.m_result != log_result::ok) {
        m_events.m_failed(answer.m_result);
        schedule(m_options.m_retry_pause, &topic_follower::read_changes);
        return;
    }
    m_answered_at = m_loop.m_now().m_at;
    m_next += answer.m_records.size();
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
