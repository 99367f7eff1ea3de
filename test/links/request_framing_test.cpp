#include "src/links/request_framing.hpp"

#include "property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace peridotrudder {

namespace {

using internal::framing_limits;
using internal::framing_state;
using internal::request_framing;

constexpr std::size_t max_body = 10'000;
const framing_limits limits{1'000, 20, max_body};
constexpr std::string_view chunked_head =
    "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Feeds the text in pieces of a length, and returns what was passed on.
std::string feed(request_framing& framing, std::string_view text, std::size_t piece)
{
    std::string passed_on;
    while (!text.empty()) {
        const auto part = text.substr(0, piece);
        const auto taken = framing.feed(part, passed_on);
        text.remove_prefix(taken);
        if (taken < part.size()) {
            break;
        }
    }
    return passed_on;
}

std::string post(std::size_t length)
{
    return fmt::format("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", length) +
           std::string(length, 'b');
}

std::string in_chunks(std::string_view body, std::size_t length)
{
    std::string text{chunked_head};
    for (; !body.empty(); body.remove_prefix(std::min(length, body.size()))) {
        const auto chunk = body.substr(0, length);
        text += fmt::format("{:x};a=b\r\n{}\r\n", chunk.size(), chunk);
    }
    return text + "0\r\nTrailer-Field: t\r\n\r\n";
}

/// Returns the body of a chunked request, and adds up its chunks.
std::string undo_chunks(std::string_view text, std::size_t& chunks)
{
    std::string body;
    text.remove_prefix(chunked_head.size());
    for (;;) {
        const auto end = text.find("\r\n");
        const auto length = std::stoul(std::string{text.substr(0, end)}, nullptr, 16);
        if (length == 0) {
            CPPUNIT_ASSERT(text == "0\r\n\r\n");
            return body;
        }
        body += text.substr(end + 2, length);
        text.remove_prefix(end + 2 + length + 2);
        ++chunks;
    }
}

framing_state state_after(const std::string& text, std::size_t piece)
{
    request_framing framing{limits};
    feed(framing, text, piece);
    return framing.state();
}

} // namespace

class request_framing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_framing_test);
    CPPUNIT_TEST(request_with_announced_body_is_passed_on_unchanged);
    CPPUNIT_TEST(tiny_chunks_are_passed_on_as_few_chunks);
    CPPUNIT_TEST(too_long_body_is_refused_at_its_announcement);
    CPPUNIT_TEST(too_long_chunked_body_is_refused_as_soon_as_it_is);
    CPPUNIT_TEST(too_long_or_too_many_headers_are_refused);
    CPPUNIT_TEST(pipelined_requests_are_followed_one_by_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void request_with_announced_body_is_passed_on_unchanged()
    {
        assert_property("any split", [] {
            const auto text = post(*rc::gen::inRange<std::size_t>(0, max_body + 1));
            request_framing framing{limits};
            const auto passed_on = feed(framing, text, *rc::gen::inRange<std::size_t>(1, 5'000));
            RC_ASSERT(passed_on == text);
            RC_ASSERT(framing.state() == framing_state::complete);
        });
    }

    // Guards against a record per chunk: 250,000 chunks of one byte took 4 MB.
    void tiny_chunks_are_passed_on_as_few_chunks()
    {
        assert_property("any split", [] {
            std::string body(*rc::gen::inRange<std::size_t>(0, max_body + 1), ' ');
            for (std::size_t index = 0; index < body.size(); ++index) {
                body[index] = static_cast<char>('a' + index % 26);
            }
            const auto text =
                in_chunks(body, *rc::gen::element<std::size_t>(1, 7, 3'000, max_body));
            request_framing framing{limits};
            const auto passed_on = feed(framing, text, *rc::gen::inRange<std::size_t>(1, 5'000));
            RC_ASSERT(framing.state() == framing_state::complete);
            std::size_t chunks = 0;
            RC_ASSERT(undo_chunks(passed_on, chunks) == body);
            RC_ASSERT(chunks <= body.size() / 1'024 + 1);
        });
    }

    void too_long_body_is_refused_at_its_announcement()
    {
        const auto head = post(max_body + 1).substr(0, 60);
        CPPUNIT_ASSERT(head.find("\r\n\r\n") != std::string::npos);
        CPPUNIT_ASSERT(state_after(head, 1'000) == framing_state::body_too_long);
        CPPUNIT_ASSERT(state_after(head, 1) == framing_state::body_too_long);
    }

    void too_long_chunked_body_is_refused_as_soon_as_it_is()
    {
        const std::string head{chunked_head};
        CPPUNIT_ASSERT(state_after(head + "2711\r\n", 7) == framing_state::body_too_long);
        CPPUNIT_ASSERT(state_after(head + "2710\r\n", 7) == framing_state::body);
        const auto whole = in_chunks(std::string(max_body + 1, 'b'), 100);
        CPPUNIT_ASSERT(state_after(whole, 4'096) == framing_state::body_too_long);
        CPPUNIT_ASSERT(state_after(head + "fffffffffffffffff\r\n", 7) == framing_state::malformed);
    }

    void too_long_or_too_many_headers_are_refused()
    {
        const std::string begin = "GET /x HTTP/1.1\r\nA: ";
        CPPUNIT_ASSERT(state_after(begin + std::string(1'000, 'a'), 300) ==
                       framing_state::header_too_long);
        CPPUNIT_ASSERT(state_after("GET /" + std::string(1'000, 'a'), 300) ==
                       framing_state::header_too_long);
        std::string many = "GET /x HTTP/1.1\r\n";
        for (int count = 0; count < 21; ++count) {
            many += "A: b\r\n";
        }
        CPPUNIT_ASSERT(state_after(many, 300) == framing_state::header_too_long);
    }

    // Guards against taking the rest of a read for a part of the request before.
    void pipelined_requests_are_followed_one_by_one()
    {
        const auto first = post(100);
        const std::string second = "GET /y HTTP/1.1\r\n\r\n";
        request_framing framing{limits};
        CPPUNIT_ASSERT(feed(framing, first + second, 4'096) == first);
        CPPUNIT_ASSERT(framing.state() == framing_state::complete);
        CPPUNIT_ASSERT(feed(framing, second, 4'096).empty());
        framing.start_next();
        CPPUNIT_ASSERT(feed(framing, second, 4'096) == second);
        CPPUNIT_ASSERT(framing.state() == framing_state::complete);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_framing_test);

} // namespace peridotrudder
