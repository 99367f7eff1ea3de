#include "peridotrudder/entry/partition_table.hpp"

#include <algorithm>
#include <numeric>

namespace peridotrudder {

namespace {

std::uint32_t partition_in(const partition_message& message)
{
    return std::visit([](const auto& content) { return content.m_partition; }, message);
}

} // namespace

partition_table::partition_table(const std::string& self, send_hook send,
                                 acknowledged_hook acknowledged)
    : m_send{std::move(send)},
      m_acknowledged{std::move(acknowledged)}
{
    for (std::uint32_t partition = 0; partition < partition_count; ++partition) {
        m_shards.push_back(std::make_unique<shard>(partition, self));
    }
}

partition_table::shard& partition_table::shard_of(const call& request) const
{
    return *m_shards[partition_of(request.m_customer, request.m_idempotency_key)];
}

// Must be called under the partition's lock, so that messages are sent in the order in which the
// replica produced them.
void partition_table::send_all(const replica_actions& actions) const
{
    for (const auto& outgoing : actions.m_messages) {
        m_send(outgoing.m_to, outgoing.m_message);
    }
}

void partition_table::report_acknowledged(const replica_actions& actions) const
{
    for (const auto& intent : actions.m_acknowledged) {
        m_acknowledged(intent);
    }
}

void partition_table::set_state(const fleet_state& state, time_point now)
{
    for (std::uint32_t partition = 0; partition < state.histories().size(); ++partition) {
        auto& target = *m_shards[partition];
        replica_actions actions;
        const std::lock_guard<std::mutex> lock{target.m_mutex};
        target.m_replica.set_history(state.histories()[partition], state.current_view(), now,
                                     actions);
        send_all(actions);
    }
}

void partition_table::receive(const std::string& from, const partition_message& message,
                              time_point now)
{
    const auto partition = partition_in(message);
    if (partition >= m_shards.size()) {
        return;
    }
    auto& target = *m_shards[partition];
    replica_actions actions;
    {
        const std::lock_guard<std::mutex> lock{target.m_mutex};
        target.m_replica.receive(from, message, now, actions);
        send_all(actions);
    }
    report_acknowledged(actions);
}

void partition_table::tick(time_point now)
{
    for (const auto& partition_shard : m_shards) {
        replica_actions actions;
        const std::lock_guard<std::mutex> lock{partition_shard->m_mutex};
        partition_shard->m_replica.tick(now, actions);
        send_all(actions);
    }
}

begin_result partition_table::begin(const call_ptr& request, const std::string& digest,
                                    time_point now)
{
    auto& target = shard_of(*request);
    const keyed_call attempt{request->record_key(), digest, request->m_limits.m_retry_window};
    const std::lock_guard<std::mutex> lock{target.m_mutex};
    auto result = target.m_replica.begin(attempt, now);
    if (result.m_verdict == begin_verdict::running) {
        target.m_waiting.emplace(attempt.m_key, request);
    }
    return result;
}

bool partition_table::write_intent(const call& request, time_point now)
{
    auto& target = shard_of(request);
    replica_actions actions;
    bool written = false;
    {
        const std::lock_guard<std::mutex> lock{target.m_mutex};
        written =
            target.m_replica.write_intent(request.record_key(), request.m_version, now, actions);
        send_all(actions);
    }
    report_acknowledged(actions);
    return written;
}

std::vector<call_ptr> partition_table::end(const call& request, const outcome& result,
                                           time_point now)
{
    auto& target = shard_of(request);
    const auto key = request.record_key();
    std::vector<call_ptr> waiting;
    replica_actions actions;
    const std::lock_guard<std::mutex> lock{target.m_mutex};
    switch (result.m_execution_status) {
    case execution_status::done:
        target.m_replica.finish(key, request.m_version, result, now, actions);
        break;
    case execution_status::not_run:
        target.m_replica.release(key, request.m_version, now, actions);
        break;
    case execution_status::outcome_unknown:
        target.m_replica.give_up(key, request.m_version);
        break;
    }
    send_all(actions);
    const auto range = target.m_waiting.equal_range(key);
    std::transform(range.first, range.second, std::back_inserter(waiting),
                   [](const auto& entry) { return entry.second; });
    target.m_waiting.erase(range.first, range.second);
    return waiting;
}

std::string partition_table::home_of(const call& request) const
{
    const auto& target = shard_of(request);
    const std::lock_guard<std::mutex> lock{target.m_mutex};
    return target.m_replica.home();
}

bool partition_table::is_handed_over() const
{
    return std::all_of(m_shards.begin(), m_shards.end(), [](const auto& partition_shard) {
        const std::lock_guard<std::mutex> lock{partition_shard->m_mutex};
        return partition_shard->m_replica.is_handed_over();
    });
}

std::size_t partition_table::record_count() const
{
    return std::accumulate(m_shards.begin(), m_shards.end(), std::size_t{0},
                           [](std::size_t sum, const auto& partition_shard) {
                               const std::lock_guard<std::mutex> lock{partition_shard->m_mutex};
                               return sum + partition_shard->m_replica.size();
                           });
}

std::size_t partition_table::open_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_shards.begin(), m_shards.end(), [](const auto& partition_shard) {
            const std::lock_guard<std::mutex> lock{partition_shard->m_mutex};
            return partition_shard->m_replica.is_open();
        }));
}

} // namespace peridotrudder
