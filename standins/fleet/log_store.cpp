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
constexpr std::size_t page_items = 500;
constexpr std::size_t remembered_answers = 5;
constexpr std::size_t bytes_per_kb = 1'024;
constexpr std::uint32_t bad_request = 400;
constexpr std::uint32_t conflict = 409;
constexpr std::uint32_t gone = 410;
constexpr std::uint32_t precondition_failed = 412;

void put_number(std::string& bytes, std::uint64_t value, std::size_t width)
{
    for (std::size_t index = width; index-- > 0;) {
        bytes.push_back(static_cast<char>((value >> (bits_per_byte * index)) & 0xFFU));
    }
}

std::uint64_t number_of(const query_values& query, std::string_view name, std::uint64_t otherwise)
{
    const auto found = query.find(name);
    std::uint64_t value = otherwise;
    if (found != query.end()) {
        const auto& text = found->second;
        std::from_chars(text.data(), text.data() + text.size(), value);
    }
    return value;
}

/// Returns the records that the body frames; nothing if it is cut short.
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
        const auto present = std::min(group, bytes.size() - index);
        for (std::size_t part = 0; part < group; ++part) {
            buffer <<= bits_per_byte;
            buffer |= part < present ? static_cast<unsigned char>(bytes[index + part]) : 0U;
        }
        for (std::size_t part = 0; part <= group; ++part) {
            constexpr unsigned bits_per_digit = 6;
            const auto digit = (buffer >> (bits_per_digit * (group - part))) & 0x3FU;
            text.push_back(part <= present ? digits[digit] : '=');
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
    const auto name = query.find("topic");
    if (name == query.end()) {
        respond(json_response(bad_request, "{}"));
        return;
    }
    auto& topic = m_topics[name->second];
    if (request.m_path == "/-/log-append") {
        respond(append(topic, query, request.m_body));
        wake(topic);
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
    waiting_read read{
        number_of(query, "from", 0), number_of(query, "max-kb", default_kb) * bytes_per_kb,
        now_ms + static_cast<std::int64_t>(number_of(query, "wait-ms", 0)), std::move(respond)};
    if (read.m_from < topic.end() || read.m_until_ms <= now_ms) {
        answer_read(topic, read);
        return;
    }
    topic.m_waits.push_back(std::move(read));
}

http_response log_store::append(topic_state& topic, const query_values& query,
                                std::string_view body)
{
    const auto records = split_records(body);
    if (!records) {
        return json_response(bad_request, "{}");
    }
    if (query.count("at") != 0 && number_of(query, "at", 0) != topic.end()) {
        return json_response(precondition_failed, json{{"end", topic.end()}}.dump());
    }
    const auto name = query.find("producer");
    auto* producer = name == query.end() ? nullptr : &topic.m_producers[name->second];
    if (producer != nullptr) {
        const auto epoch = number_of(query, "epoch", 0);
        const auto sequence = number_of(query, "sequence", 0);
        if (epoch < producer->m_epoch) {
            return json_response(conflict, R"({"reason":"fenced"})");
        }
        if (epoch > producer->m_epoch) {
            *producer = {epoch, sequence - 1, {}};
        }
        const auto repeated = producer->m_answers.find(sequence);
        if (!records->empty() && repeated != producer->m_answers.end()) {
            return json_response(200, repeated->second);
        }
        if (!records->empty() && sequence != producer->m_sequence + 1) {
            return json_response(
                conflict, json{{"reason", "seq"}, {"sequence", producer->m_sequence + 1}}.dump());
        }
        producer->m_sequence = records->empty() ? producer->m_sequence : sequence;
    }
    const auto offset = topic.end();
    append_records(topic, *records);
    auto text = json{{"offset", offset}, {"end", topic.end()}}.dump();
    if (producer != nullptr && !records->empty()) {
        producer->m_answers[producer->m_sequence] = text;
        while (producer->m_answers.size() > remembered_answers) {
            producer->m_answers.erase(producer->m_answers.begin());
        }
    }
    return json_response(200, std::move(text));
}

void log_store::append_records(topic_state& topic, const std::vector<std::string>& records)
{
    for (const auto& each : records) {
        const auto offset = topic.end();
        topic.m_records.push_back(each);
        const std::size_t key_length = each.empty() ? 0 : static_cast<unsigned char>(each.front());
        if (each.size() < key_length + 1) {
            continue;
        }
        const auto key = each.substr(1, key_length);
        auto value = each.substr(key_length + 1);
        if (value.empty()) {
            topic.m_newest.erase(key);
            continue;
        }
        topic.m_newest[key] = {std::move(value), offset};
    }
}

void log_store::answer_read(const topic_state& topic, const waiting_read& read)
{
    if (read.m_from < topic.m_first) {
        read.m_respond(json_response(gone, json{{"first", topic.m_first}}.dump()));
        return;
    }
    http_response response;
    response.m_headers.push_back({"Content-Type", "application/octet-stream"});
    put_number(response.m_body, topic.end(), offset_bytes);
    put_number(response.m_body, topic.m_first, offset_bytes);
    for (auto offset = read.m_from; offset < topic.end(); ++offset) {
        const auto& record = topic.m_records[offset - topic.m_first];
        const bool first = offset == read.m_from;
        if (!first && response.m_body.size() + record.size() > read.m_most_bytes) {
            break;
        }
        put_number(response.m_body, record.size(), length_bytes);
        response.m_body += record;
    }
    read.m_respond(std::move(response));
}

void log_store::wake(topic_state& topic)
{
    auto waits = std::move(topic.m_waits);
    topic.m_waits.clear();
    for (auto& each : waits) {
        if (each.m_from < topic.end()) {
            answer_read(topic, each);
        }
        else {
            topic.m_waits.push_back(std::move(each));
        }
    }
}

void log_store::expire_waits(std::int64_t now_ms)
{
    for (auto& [name, topic] : m_topics) {
        auto waits = std::move(topic.m_waits);
        topic.m_waits.clear();
        for (auto& each : waits) {
            if (each.m_until_ms <= now_ms) {
                answer_read(topic, each);
            }
            else {
                topic.m_waits.push_back(std::move(each));
            }
        }
    }
}

http_response log_store::newest_page(const topic_state& topic, const query_values& query)
{
    const auto after = query.find("depends-on");
    auto items = json::array();
    auto each =
        after == query.end() ? topic.m_newest.begin() : topic.m_newest.upper_bound(after->second);
    for (; each != topic.m_newest.end() && items.size() < page_items; ++each) {
        items.push_back({{"key", each->first},
                         {"value", to_base64(each->second.m_value)},
                         {"offset", each->second.m_offset}});
    }
    return json_response(200, json{{"items", std::move(items)},
                                   {"has-more", each != topic.m_newest.end()},
                                   {"end", topic.end()}}
                                  .dump());
}

void log_store::put(const std::string& topic, const std::string& key,
                    const std::optional<std::string>& value)
{
    std::string record;
    put_number(record, key.size(), 1);
    record += key + value.value_or("");
    append_records(m_topics[topic], {record});
    wake(m_topics[topic]);
}

std::string log_store::newest(const std::string& topic, const std::string& key) const
{
    const auto found = m_topics.find(topic);
    if (found == m_topics.end()) {
        return {};
    }
    const auto value = found->second.m_newest.find(key);
    return value == found->second.m_newest.end() ? std::string{} : value->second.m_value;
}

void log_store::forget_history()
{
    for (auto& [name, topic] : m_topics) {
        topic.m_first = topic.end();
        topic.m_records.clear();
    }
}

} // namespace standins
