#pragma once

/// @file
/// The platform's log, in memory: topics with one partition each, conditions, producers' epochs.

#include "peridotrudder/links/http.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

/// Parameters of a call's query.
using query_values = std::map<std::string, std::string, std::less<>>;

/// Returns the query's parameters, unescaped.
query_values parse_query(std::string_view query);

/// Keeps the topics and answers the calls of the log. Long polls wait until a record comes or
/// `expire_waits` is told that their time is over. Not thread-safe.
class log_store {
public:
    using responder = std::function<void(peridotrudder::http_response)>;

    /// Answers a call under `/-/log-`; `now_ms` is the time of the caller's loop.
    void answer(const peridotrudder::http_request& request, std::int64_t now_ms, responder respond);
    /// Answers the long polls that have waited long enough.
    void expire_reads(std::int64_t now_ms);

    /// Writes a record as operators and workers do. A value that is absent drops the key.
    void put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value);
    /// Returns the newest value of a key; empty if there is none.
    std::string newest(const std::string& topic, const std::string& key) const;
    /// Drops all records but the newest of each key, as retention does.
    void forget_history();

private:
    struct producer_state {
        std::uint64_t m_epoch{0};
        std::uint64_t m_sequence{0};
        /// Answers of the newest appends, by sequence number.
        std::map<std::uint64_t, std::string> m_answers;
    };

    struct newest_value {
        std::string m_value;
        std::uint64_t m_offset{0};
    };

    struct waiting_read {
        std::uint64_t m_from_offset{0};
        std::size_t m_max_bytes{0};
        std::int64_t m_deadline_ms{0};
        responder m_respond;
    };

    struct topic_state {
        std::uint64_t m_first_offset{0};
        std::vector<std::string> m_records;
        std::map<std::string, newest_value> m_newest;
        std::map<std::string, producer_state> m_producers;
        std::vector<waiting_read> m_waiting_reads;

        std::uint64_t end() const { return m_first_offset + m_records.size(); }
    };

    peridotrudder::http_response append(topic_state& topic, const query_values& query,
                                        std::string_view body);
    void store_records(topic_state& topic, const std::vector<std::string>& records);
    static void answer_read(const topic_state& topic, const waiting_read& read);
    void answer_ready_reads(topic_state& topic);
    static peridotrudder::http_response newest_page(const topic_state& topic,
                                                    const query_values& query);

    std::map<std::string, topic_state> m_topics;
};

} // namespace standins
