#pragma once

/// @file
/// In-memory replacement of the platform's log: topics with one partition each, conditional appends
/// and producer epochs.

#include "peridotrudder/links/http.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

/// Query parameters of a request, by name.
using query_values = std::map<std::string, std::string, std::less<>>;

/// Parses a query string; percent escapes are decoded.
query_values parse_query(std::string_view query);

/// Stores the topics and answers requests to the log. A long poll is answered when a record arrives
/// or when `expire_reads` finds its wait time over. Not thread-safe.
class log_store {
public:
    using responder = std::function<void(peridotrudder::http_response)>;

    /// Answers a request under `/-/log-`; a read with a wait time may be answered later. `now_ms`
    /// must come from the same clock as in `expire_reads`.
    void answer(const peridotrudder::http_request& request, std::int64_t now_ms, responder respond);
    /// Answers the long polls whose wait time is over.
    void expire_reads(std::int64_t now_ms);

    /// Appends a record, as operators and workers do. An absent value deletes the key.
    void put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value);
    /// Returns the newest value of a key; empty if the key has none.
    std::string newest(const std::string& topic, const std::string& key) const;
    /// Drops all records, as retention does; the newest value of each key stays available.
    void forget_history();

private:
    struct producer_state {
        std::uint64_t m_epoch{0};
        std::uint64_t m_sequence{0};
        /// Answers to the latest appends, by sequence number, for repeated requests.
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
