#include "peridotrudder/node/record_feed.hpp"

#include <utility>

namespace peridotrudder {

std::unique_ptr<record_feed> record_feed::create(follower_options options, log_port log,
                                                 loop_port loop, record_taker take,
                                                 std::function<void()> on_kept)
{
    auto made = std::unique_ptr<record_feed>{new record_feed{std::move(take), std::move(on_kept)}};
    auto* feed = made.get();
    follower_events events;
    events.m_snapshot = [feed](const std::vector<keyed_record>& records) {
        feed->take(records, true);
    };
    events.m_changes = [feed](const std::vector<keyed_record>& records) {
        feed->take(records, false);
    };
    events.m_failed = [](log_result /*result*/) {};
    events.m_end = [](std::uint64_t /*end*/) {};
    made->m_follower = topic_follower::create(std::move(options), std::move(log), std::move(loop),
                                              std::move(events));
    return made;
}

record_feed::record_feed(record_taker take, std::function<void()> on_kept)
    : m_take{std::move(take)},
      m_on_kept{std::move(on_kept)}
{
}

void record_feed::take(const std::vector<keyed_record>& records, bool snapshot)
{
    if (m_released) {
        m_take(records, snapshot);
        return;
    }
    m_complete = m_complete || snapshot;
    if (snapshot) {
        m_kept.clear();
    }
    m_kept.insert(m_kept.end(), records.begin(), records.end());
    m_on_kept();
}

void record_feed::release()
{
    m_released = true;
    const auto kept = std::move(m_kept);
    m_kept.clear();
    m_take(kept, true);
}

} // namespace peridotrudder
