#include "peridotrudder/ownership/cluster_log.hpp"

#include "peridotrudder/base/packed_cbor.hpp"
#include "peridotrudder/ownership/member_list.hpp"

#include <utility>

namespace peridotrudder {

namespace {

/// An owner writes to its journal more often than this.
constexpr milliseconds journal_silence{1'200};

} // namespace

cluster_log::cluster_log(const log_port& log, std::string topic, std::string journal_topic)
    : m_log{log},
      m_topic{std::move(topic)},
      m_journal_topic{std::move(journal_topic)},
      m_self{std::make_shared<cluster_log*>(this)}
{
}

void cluster_log::append_claim(const ownership_claim& claim, std::uint64_t expected_end,
                               append_handler done)
{
    auto request = make_append(std::string{owner_key}, to_packed_cbor(claim));
    request.m_expected_end = expected_end;
    append(request, std::move(done));
}

void cluster_log::append_group(const owner_group& group, append_handler done)
{
    append(make_append(std::string{owner_group_key}, to_packed_cbor(group)), std::move(done));
}

void cluster_log::delete_node(const std::string& name, std::uint64_t expected_end,
                              append_handler done)
{
    auto request = make_append(std::string{node_key_prefix} + name, std::nullopt);
    request.m_expected_end = expected_end;
    append(request, std::move(done));
}

append_request cluster_log::make_append(std::string key,
                                        std::optional<std::vector<std::uint8_t>> value) const
{
    append_request request;
    request.m_topic = m_topic;
    request.m_timeout = cluster_append_timeout;
    request.m_records.push_back({std::move(key), std::move(value), 0});
    return request;
}

void cluster_log::append(const append_request& request, append_handler done)
{
    const std::weak_ptr<cluster_log*> self = m_self;
    m_log.m_append(request, [self, done = std::move(done)](const append_answer& answer) {
        if (!self.expired()) {
            done(answer);
        }
    });
}

read_request cluster_log::make_journal_read() const
{
    read_request request;
    request.m_topic = m_journal_topic;
    request.m_max_kb = 1;
    return request;
}

void cluster_log::watch_journal(std::function<void(bool written)> seen)
{
    const std::weak_ptr<cluster_log*> self = m_self;
    // Read from the end only; the first records may have been trimmed.
    m_log.m_newest(m_journal_topic, [self, seen = std::move(seen)](const newest_answer& answer) {
        const auto log = self.lock();
        if (log && answer.m_result == log_result::ok) {
            (*log)->read_journal_from(answer.m_end, seen);
        }
    });
}

void cluster_log::read_journal_from(std::uint64_t end, std::function<void(bool written)> seen)
{
    auto request = make_journal_read();
    request.m_from = end;
    request.m_wait = journal_silence;
    const std::weak_ptr<cluster_log*> self = m_self;
    m_log.m_read(request, [self, seen = std::move(seen)](const read_answer& answer) {
        if (!self.expired() && answer.m_result == log_result::ok) {
            seen(!answer.m_records.empty());
        }
    });
}

void cluster_log::probe_journal(std::function<void()> reached)
{
    const std::weak_ptr<cluster_log*> self = m_self;
    m_log.m_read(make_journal_read(),
                 [self, reached = std::move(reached)](const read_answer& answer) {
                     const bool answered = answer.m_result == log_result::ok ||
                                           answer.m_result == log_result::trimmed;
                     if (!self.expired() && answered) {
                         reached();
                     }
                 });
}

} // namespace peridotrudder
