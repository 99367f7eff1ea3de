#include "peridotrudder/node/buffered_follower.hpp"

#include <utility>

namespace peridotrudder {

std::unique_ptr<buffered_follower> buffered_follower::create(follower_options options, log_port log,
                                                             loop_port loop, record_handler take,
                                                             std::function<void()> on_buffered)
{
    auto made = std::unique_ptr<buffered_follower>{
        new buffered_follower{std::move(take), std::move(on_buffered)}};
    auto* follower = made.get();
    follower_events events;
    events.m_snapshot = [follower](const std::vector<keyed_record>& records) {
        follower->take(records, true);
    };
    events.m_changes = [follower](const std::vector<keyed_record>& records) {
        follower->take(records, false);
    };
    events.m_failed = [](log_result /*result*/) {};
    events.m_end = [](std::uint64_t /*end*/) {};
    made->m_follower = topic_follower::create(std::move(options), std::move(log), std::move(loop),
                                              std::move(events));
    return made;
}

buffered_follower::buffered_follower(record_handler take, std::function<void()> on_buffered)
    : m_take{std::move(take)},
      m_on_buffered{std::move(on_buffered)}
{
}

void buffered_follower::take(const std::vector<keyed_record>& records, bool snapshot)
{
    if (m_released) {
        m_take(records, snapshot);
        return;
    }
    m_complete = m_complete || snapshot;
    if (snapshot) {
        m_buffered.clear();
    }
    m_buffered.insert(m_buffered.end(), records.begin(), records.end());
    m_on_buffered();
}

void buffered_follower::release()
{
    m_released = true;
    const auto buffered = std::move(m_buffered);
    m_buffered.clear();
    m_take(buffered, true);
}

} // namespace peridotrudder
