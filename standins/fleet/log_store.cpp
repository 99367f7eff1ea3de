#include "standins/fleet/log_store.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace standins {

using nlohmann::json;
using peridotrudder::http_request;
using peridotrudder::http_response;
using peridotrudder::json_response;

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;
constexpr unsigned bits_per_byte = 8;
constexpr std::size_t max_page_items = 500;
constexpr std::size_t max_remembered_answers = 5;
constexpr std::size_t bytes_per_kb = 1'024;
constexpr std::uint32_t bad_request = 400;
constexpr std::uint32_t conflict = 409;
constexpr std::uint32_t gone = 410;
constexpr std::uint32_t precondition_failed = 412;

void append_big_endian(std::string& bytes, std::uint64_t value, std::size_t width)
{
    for (std::size_t index = width; index-- > 0;) {
        bytes.push_back(static_cast<char>((value >> (bits_per_byte * index)) & 0xFFU));
    }
}

std::uint64_t parse_number_parameter(const query_values& query, std::string_view name,
                                     std::uint64_t default_value)
{
    const auto parameter = query.find(name);
    std::uint64_t value = default_value;
    if (parameter != query.end()) {
        const auto& text = parameter->second;
        std::from_chars(text.data(), text.data() + text.size(), value);
    }
    return value;
}

/// Splits a body into its length-prefixed records; `nullopt` if the body is truncated.
std::optional<std::vector<std::string>> split_records(std::string_view body)
{
    std::vector<std::string> records;
    while (!body.empty()) {
        if (body.size() < length_bytes) {
            return std::nullopt;
        }
        std::uint64_t length = 0;
        for (std::size_t index = 0; index < length_bytes; ++index) {
            length = (length << bits_per_byte) | static_cast<unsigned char>(body[index]);
        }
        body.remove_prefix(length_bytes);
        if (length > body.size()) {
            return std::nullopt;
        }
        records.emplace_back(body.substr(0, length));
        body.remove_prefix(length);
    }
    return records;
}

std::string to_base64(std::string_view bytes)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr std::size_t group = 3;
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += group) {
        std::uint32_t buffer = 0;
        const auto byte_count = std::min(group, bytes.size() - index);
        for (std::size_t position = 0; position < group; ++position) {
            buffer <<= bits_per_byte;
            buffer |=
                position < byte_count ? static_cast<unsigned char>(bytes[index + position]) : 0U;
        }
        for (std::size_t position = 0; position <= group; ++position) {
            constexpr unsigned bits_per_digit = 6;
            const auto digit = (buffer >> (bits_per_digit * (group - position))) & 0x3FU;
            text.push_back(position <= byte_count ? digits[digit] : '=');
        }
    }
    return text;
}

} // namespace

query_values parse_query(std::string_view query)
{
    query_values values;
    while (!query.empty()) {
        const auto pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        std::string text;
        for (std::size_t index = 0; index < pair.size(); ++index) {
            unsigned code = 0;
            const auto* hex = pair.data() + index + 1;
            if (pair[index] == '%' && index + 2 < pair.size() &&
                std::from_chars(hex, hex + 2, code, 16).ec == std::errc{}) {
                text.push_back(static_cast<char>(code));
                index += 2;
                continue;
            }
            text.push_back(pair[index]);
        }
        const auto equals = text.find('=');
        values[text.substr(0, equals)] =
            equals == std::string::npos ? std::string{} : text.substr(equals + 1);
    }
    return values;
}

void log_store::answer(const http_request& request, std::int64_t now_ms, responder respond)
{
    const auto query = parse_query(request.m_query);
    const auto topic_parameter = query.find("topic");
    if (topic_parameter == query.end()) {
        respond(json_response(bad_request, "{}"));
        return;
    }
    auto& topic = m_topics[topic_parameter->second];
    if (request.m_path == "/-/log-append") {
        respond(append(topic, query, request.m_body));
        answer_ready_reads(topic);
        return;
    }
    if (request.m_path == "/-/log-newest") {
        respond(newest_page(topic, query));
        return;
    }
    if (request.m_path != "/-/log-read") {
        respond(json_response(bad_request, "{}"));
        return;
    }
    constexpr std::uint64_t default_kb = 1'024;
    waiting_read read{parse_number_parameter(query, "from", 0),
                      parse_number_parameter(query, "max-kb", default_kb) * bytes_per_kb,
                      now_ms +
                          static_cast<std::int64_t>(parse_number_parameter(query, "wait-ms", 0)),
                      std::move(respond)};
    if (read.m_from_offset < topic.end() || read.m_deadline_ms <= now_ms) {
        answer_read(topic, read);
        return;
    }
    topic.m_waiting_reads.push_back(std::move(read));
}

http_response log_store::append(topic_state& topic, const query_values& query,
                                std::string_view body)
{
    const auto records = split_records(body);
    if (!records) {
        return json_response(bad_request, "{}");
    }
    if (query.count("at") != 0 && parse_number_parameter(query, "at", 0) != topic.end()) {
        return json_response(precondition_failed, json{{"end", topic.end()}}.dump());
    }
    const auto producer_parameter = query.find("producer");
    auto* producer = producer_parameter == query.end()
                         ? nullptr
                         : &topic.m_producers[producer_parameter->second];
    if (producer != nullptr) {
        const auto epoch = parse_number_parameter(query, "epoch", 0);
        const auto sequence = parse_number_parameter(query, "sequence", 0);
        if (epoch < producer->m_epoch) {
            return json_response(conflict, R"({"reason":"fenced"})");
        }
        if (epoch > producer->m_epoch) {
            *producer = {epoch, sequence - 1, {}};
        }
        const auto earlier_answer = producer->m_answers.find(sequence);
        if (!records->empty() && earlier_answer != producer->m_answers.end()) {
            return json_response(200, earlier_answer->second);
        }
        if (!records->empty() && sequence != producer->m_sequence + 1) {
            return json_response(
                conflict, json{{"reason", "seq"}, {"sequence", producer->m_sequence + 1}}.dump());
        }
        producer->m_sequence = records->empty() ? producer->m_sequence : sequence;
    }
    const auto offset = topic.end();
    store_records(topic, *records);
    auto answer_text = json{{"offset", offset}, {"end", topic.end()}}.dump();
    if (producer != nullptr && !records->empty()) {
        producer->m_answers[producer->m_sequence] = answer_text;
        while (producer->m_answers.size() > max_remembered_answers) {
            producer->m_answers.erase(producer->m_answers.begin());
        }
    }
    return json_response(200, std::move(answer_text));
}

void log_store::store_records(topic_state& topic, const std::vector<std::string>& records)
{
    for (const auto& record : records) {
        const auto offset = topic.end();
        topic.m_records.push_back(record);
        const std::size_t key_length =
            record.empty() ? 0 : static_cast<unsigned char>(record.front());
        if (record.size() < key_length + 1) {
            continue;
        }
        const auto key = record.substr(1, key_length);
        auto value = record.substr(key_length + 1);
        if (value.empty()) {
            topic.m_newest.erase(key);
            continue;
        }
        topic.m_newest[key] = {std::move(value), offset};
    }
}

void log_store::answer_read(const topic_state& topic, const waiting_read& read)
{
    if (read.m_from_offset < topic.m_first_offset) {
        read.m_respond(json_response(gone, json{{"first", topic.m_first_offset}}.dump()));
        return;
    }
    http_response response;
    response.m_headers.push_back({"Content-Type", "application/octet-stream"});
    append_big_endian(response.m_body, topic.end(), offset_bytes);
    append_big_endian(response.m_body, topic.m_first_offset, offset_bytes);
    for (auto offset = read.m_from_offset; offset < topic.end(); ++offset) {
        const auto& record = topic.m_records[offset - topic.m_first_offset];
        const bool first = offset == read.m_from_offset;
        if (!first && response.m_body.size() + record.size() > read.m_max_bytes) {
            break;
        }
        append_big_endian(response.m_body, record.size(), length_bytes);
        response.m_body += record;
    }
    read.m_respond(std::move(response));
}

void log_store::answer_ready_reads(topic_state& topic)
{
    auto waiting_reads = std::move(topic.m_waiting_reads);
    topic.m_waiting_reads.clear();
    for (auto& read : waiting_reads) {
        if (read.m_from_offset < topic.end()) {
            answer_read(topic, read);
        }
        else {
            topic.m_waiting_reads.push_back(std::move(read));
        }
    }
}

void log_store::expire_reads(std::int64_t now_ms)
{
    for (auto& [name, topic] : m_topics) {
        auto waiting_reads = std::move(topic.m_waiting_reads);
        topic.m_waiting_reads.clear();
        for (auto& read : waiting_reads) {
            if (read.m_deadline_ms <= now_ms) {
                answer_read(topic, read);
            }
            else {
                topic.m_waiting_reads.push_back(std::move(read));
            }
        }
    }
}

http_response log_store::newest_page(const topic_state& topic, const query_values& query)
{
    const auto after_key = query.find("depends-on");
    auto items = json::array();
    auto item = after_key == query.end() ? topic.m_newest.begin()
                                         : topic.m_newest.upper_bound(after_key->second);
    for (; item != topic.m_newest.end() && items.size() < max_page_items; ++item) {
        items.push_back({{"key", item->first},
                         {"value", to_base64(item->second.m_value)},
                         {"offset", item->second.m_offset}});
    }
    return json_response(200, json{{"items", std::move(items)},
                                   {"has-more", item != topic.m_newest.end()},
                                   {"end", topic.end()}}
                                  .dump());
}

void log_store::put(const std::string& topic, const std::string& key,
                    const std::optional<std::string>& value)
{
    std::string record;
    append_big_endian(record, key.size(), 1);
    record += key + value.value_or("");
    store_records(m_topics[topic], {record});
    answer_ready_reads(m_topics[topic]);
}

std::string log_store::newest(const std::string& topic, const std::string& key) const
{
    const auto topic_entry = m_topics.find(topic);
    if (topic_entry == m_topics.end()) {
        return {};
    }
    const auto value = topic_entry->second.m_newest.find(key);
    return value == topic_entry->second.m_newest.end() ? std::string{} : value->second.m_value;
}

void log_store::forget_history()
{
    for (auto& [name, topic] : m_topics) {
        topic.m_first_offset = topic.end();
        topic.m_records.clear();
    }
}

} // namespace standins
